#include "sycamorehinge/testing/history.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace sycamorehinge::testing {

namespace {

using nlohmann::json;

json ToJson(const resources& size) {
  return {{"cores_milli", size.cores_milli},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators},
          {"slots", size.slots}};
}

struct field_writer {
  json& object;

  void operator()(const char* key, const resources& value) const { object[key] = ToJson(value); }
  template <class T>
  void operator()(const char* key, const T& value) const {
    object[key] = value;
  }
};

// Throws json::exception if a field is missing or of another type.
struct field_reader {
  const json& object;

  void operator()(const char* key, resources& value) const {
    const json& size = object.at(key);
    value = {size.at("cores_milli").get<std::int64_t>(), size.at("memory_mb").get<std::int64_t>(),
             size.at("accelerators").get<std::int64_t>(), size.at("slots").get<std::int64_t>()};
  }
  template <class T>
  void operator()(const char* key, T& value) const {
    value = object.at(key).get<T>();
  }
};

// Reads the alternative of `body` that is called `name`.
template <std::size_t I = 0>
bool ReadBody(std::string_view name, const json& object, event_body& body) {
  if constexpr (I < std::variant_size_v<event_body>) {
    using alternative = std::variant_alternative_t<I, event_body>;
    if (name != alternative::kName) return ReadBody<I + 1>(name, object, body);
    alternative value;
    field_reader reader{object};
    value.Describe(reader);
    body = std::move(value);
    return true;
  } else {
    return false;
  }
}

}  // namespace

time_point MonotonicNow() {
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

std::string EncodeEvent(const history_event& event) {
  json object;
  const auto since_boot = event.at.time_since_epoch();
  object["at_ns"] = std::chrono::duration_cast<std::chrono::nanoseconds>(since_boot).count();
  std::visit(
      [&object](auto body) {
        object["event"] = body.kName;
        field_writer writer{object};
        body.Describe(writer);
      },
      event.body);
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<history_event> DecodeEvent(std::string_view line) {
  try {
    const json object = json::parse(line);
    history_event event;
    event.at = time_point(std::chrono::duration_cast<duration>(
        std::chrono::nanoseconds(object.at("at_ns").get<std::int64_t>())));
    const auto name = object.at("event").get<std::string>();
    if (!ReadBody(name, object, event.body)) return {errc::kMalformed, "unknown event " + name};
    return event;
  } catch (const json::exception& error) {
    return {errc::kMalformed, error.what()};
  }
}

result<std::shared_ptr<history_writer>> history_writer::Open(const std::string& path) {
  std::FILE* file = nullptr;
  if (!path.empty()) {
    file = std::fopen(path.c_str(), "a");
    if (file == nullptr) return {errc::kInternal, "cannot open " + path};
  }
  return std::shared_ptr<history_writer>(new history_writer(file));
}

history_writer::~history_writer() {
  if (file_ != nullptr) (void)std::fclose(file_);
}

void history_writer::Write(const history_event& event) {
  if (file_ == nullptr) return;
  const std::string line = EncodeEvent(event) + "\n";
  const std::lock_guard lock(mutex_);
  (void)std::fwrite(line.data(), 1, line.size(), file_);
}

void history_writer::Flush() {
  if (file_ == nullptr) return;
  const std::lock_guard lock(mutex_);
  (void)std::fflush(file_);
}

errc ReadHistory(const std::string& path, std::vector<history_event>& events, std::string& detail) {
  std::ifstream file(path);
  if (!file) {
    detail = "cannot open " + path;
    return errc::kInternal;
  }
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    if (line.empty()) continue;
    auto event = DecodeEvent(line);
    if (event) {
      events.push_back(std::move(*event));
      continue;
    }
    if (file.eof()) return errc::kOk;
    detail = path + ":" + std::to_string(number) + ": " + std::string(event.detail());
    return event.code();
  }
  return errc::kOk;
}

}  // namespace sycamorehinge::testing
