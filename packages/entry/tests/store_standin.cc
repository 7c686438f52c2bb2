#include "store_standin.h"

#include <nlohmann/json.hpp>

#include "sycamorehinge/net/json_fields.h"

namespace sycamorehinge::testing {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
// The stand-in looks for new records at this interval while a read waits for one.
constexpr duration kReadInterval = std::chrono::milliseconds(100);

void AppendBigEndian(std::uint64_t number, std::size_t bytes, std::string& out) {
  for (std::size_t i = bytes; i-- > 0;) out.push_back(static_cast<char>(number >> (8 * i)));
}

std::uint64_t ReadBigEndian(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char c : bytes) number = (number << 8) | static_cast<unsigned char>(c);
  return number;
}

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::string_view part = bytes.substr(i, 3);
    const std::uint64_t group = ReadBigEndian(part) << (8 * (3 - part.size()));
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit > part.size() ? '=' : kDigits[(group >> (18 - 6 * digit)) & 63];
    }
  }
  return text;
}

http_response Json(const nlohmann::json& body) {
  return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

std::size_t NumberOf(const http_request& request, std::string_view name) {
  const auto text = request.Query(name);
  return text ? std::stoul(std::string(*text)) : 0;
}

http_server_options Options() {
  http_server_options options;
  options.max_body_bytes = std::size_t{8} << 20;
  return options;
}

}  // namespace

store_standin::store_standin()
    : server_(Options(),
              [this](const http_request& request, const http_server::reply_function& reply) {
                Handle(request, reply);
              }) {
  server_.Start();
}

store_standin::~store_standin() { server_.Stop(); }

std::string store_standin::Address() const { return "127.0.0.1:" + std::to_string(server_.Port()); }

void store_standin::Put(const std::string& topic, std::string_view key, std::string_view value) {
  const std::lock_guard lock(mutex_);
  streams_[topic].emplace_back(key, value);
}

void store_standin::Handle(const http_request& request, const http_server::reply_function& reply) {
  const std::string topic(request.Query("topic").value_or(""));
  if (request.path.ends_with("/log-newest")) return reply(Newest(topic));
  if (request.path.ends_with("/log-append")) return reply(Append(topic, request.body));
  if (request.path.ends_with("/log-join")) return reply(Join(request.body));
  if (request.path.ends_with("/log-owners")) return reply(Owners());
  if (!request.path.ends_with("/log-read")) return reply(Json(nlohmann::json::object()));
  const std::size_t from = NumberOf(request, "from");
  const bool waits = NumberOf(request, "wait_ms") > 0 && !HasRecord(topic, from);
  if (!waits) return reply(Records(topic, from));
  timers_.ScheduleAfter(kReadInterval, [this, topic, from, reply] { reply(Records(topic, from)); });
}

http_response store_standin::Newest(const std::string& topic) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::string> newest;
  for (const auto& [key, value] : streams_[topic]) {
    if (value.empty()) {
      newest.erase(key);
    } else {
      newest[key] = value;
    }
  }
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, value] : newest) {
    items.push_back({{"key", key}, {"value", EncodeBase64(value)}, {"offset", 0}});
  }
  return Json({{"items", items}, {"has_more", false}, {"end_offset", streams_[topic].size()}});
}

http_response store_standin::Append(const std::string& topic, std::string_view body) {
  const std::lock_guard lock(mutex_);
  stream& records = streams_[topic];
  const std::size_t first = records.size();
  while (body.size() > kLengthBytes) {
    const std::size_t size = ReadBigEndian(body.substr(0, kLengthBytes));
    const std::string_view content = body.substr(kLengthBytes, size);
    const auto key_size = static_cast<unsigned char>(content.front());
    records.emplace_back(content.substr(1, key_size), content.substr(1 + key_size));
    body.remove_prefix(kLengthBytes + size);
  }
  return Json({{"offset", first}, {"end_offset", records.size()}});
}

bool store_standin::HasRecord(const std::string& topic, std::size_t from) {
  const std::lock_guard lock(mutex_);
  return streams_[topic].size() > from;
}

http_response store_standin::Records(const std::string& topic, std::size_t from) {
  const std::lock_guard lock(mutex_);
  const stream& records = streams_[topic];
  http_response response;
  AppendBigEndian(records.size(), kOffsetBytes, response.body);
  AppendBigEndian(0, kOffsetBytes, response.body);
  for (std::size_t i = from; i < records.size(); ++i) {
    const auto& [key, value] = records[i];
    AppendBigEndian(1 + key.size() + value.size(), kLengthBytes, response.body);
    response.body.push_back(static_cast<char>(key.size()));
    response.body += key + value;
  }
  return response;
}

http_response store_standin::Join(std::string_view body) {
  const std::lock_guard lock(mutex_);
  const nlohmann::json root = ParseJson(body);
  member_ = json_fields(root).String("member");
  return Json({{"generation", 1}, {"parts", {{"t", 0, 0}}}});
}

http_response store_standin::Owners() {
  const std::lock_guard lock(mutex_);
  nlohmann::json rows = nlohmann::json::array();
  if (!member_.empty()) rows.push_back({"t", 0, member_, 0});
  return Json(rows);
}

}  // namespace sycamorehinge::testing
