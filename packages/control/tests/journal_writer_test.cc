#include "journal_writer.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "fake_store.h"

namespace sycamorehinge::control::testing {
namespace {

struct journal_fixture {
  explicit journal_fixture(std::uint64_t epoch = 1) : port(store.PortsOf("p")) { Open(epoch); }

  void Open(std::uint64_t epoch) {
    journal_handlers handlers;
    handlers.on_durable = [this](std::uint64_t sequence) { durable = sequence; };
    handlers.on_confirmed = [this](time_point at) { confirmed = at; };
    handlers.on_fenced = [this] { fenced = true; };
    handlers.on_availability = [this](bool now_available) { available = now_available; };
    writer = std::make_shared<journal_writer>(port, journal_options{"cell"}, epoch, handlers);
  }

  fake_store store;
  ports port;
  std::shared_ptr<journal_writer> writer;
  std::uint64_t durable = 0;
  time_point confirmed;
  bool fenced = false;
  bool available = true;
};

// Guards against one append per record: the store handles a few hundred appends per second.
TEST_CASE("Records added together are stored with one append") {
  journal_fixture fixture;
  for (std::uint64_t i = 1; i <= 50; ++i) fixture.writer->Add(i, cell::term_record{i});
  fixture.store.Run(milliseconds(50));
  CHECK(fixture.durable == 50);
  CHECK(fixture.store.appends == 1);
}

// Guards against a record that is stored twice or never when the answer to its append is lost.
TEST_CASE("An append without an answer is retried and stored once") {
  journal_fixture fixture;
  fixture.store.drop_answers = true;
  fixture.writer->Add(1, cell::host_record{host_id{"a"}, "1", "s"});
  fixture.store.Run(milliseconds(1500));
  CHECK(fixture.durable == 0);
  CHECK_FALSE(fixture.available);
  fixture.store.drop_answers = false;
  fixture.writer->Add(2, cell::host_record{host_id{"b"}, "1", "s"});
  fixture.store.Run(milliseconds(3000));
  CHECK(fixture.durable == 2);
  CHECK(fixture.available);
  CHECK(fixture.store.Newest(stream_name::kJournal).size() == 2);
}

// Guards against waiting a full timeout for each lost answer (scenario lost-writes: half of the
// writes get no answer).
TEST_CASE("A lost answer costs much less than a timeout") {
  journal_fixture fixture;
  fixture.store.drop_next_answers = 2;
  fixture.writer->Add(1, cell::host_record{host_id{"a"}, "1", "s"});
  fixture.store.Run(milliseconds(400));
  CHECK(fixture.durable == 1);
  errc code = errc::kInternal;
  fixture.Open(2);
  fixture.store.drop_next_answers = 2;
  fixture.writer->Fence([&](errc outcome) { code = outcome; });
  fixture.store.Run(milliseconds(400));
  CHECK(code == errc::kOk);
  CHECK(fixture.store.Newest(stream_name::kJournal).size() == 1);
}

// Guards against an owner without work that does not notice that it was replaced, and against one
// that counts a confirmation from the answer instead of from the request.
TEST_CASE("An idle writer is confirmed at intervals until a newer one fences it") {
  journal_fixture fixture;
  fixture.writer->Fence([](errc) {});
  fixture.store.Run(milliseconds(5000));
  CHECK(fixture.store.now - fixture.confirmed <= milliseconds(1500));
  fixture.store.answer_delay = milliseconds(300);
  fixture.store.Run(milliseconds(1000));
  const time_point cut = fixture.store.now;
  fixture.store.available = false;
  fixture.store.Run(milliseconds(3000));
  CHECK(fixture.confirmed <= cut);
  CHECK_FALSE(fixture.fenced);
  fixture.store.available = true;
  auto newer = std::make_shared<journal_writer>(fixture.port, journal_options{"cell"}, 2,
                                                journal_handlers{{}, [](time_point) {}, {}, {}});
  newer->Fence([](errc) {});
  fixture.store.Run(milliseconds(1000));
  CHECK(fixture.fenced);
  CHECK(fixture.confirmed <= cut);
  newer->Stop();
}

// Guards against a store that is slow, works on one append at a time, and never gets to the records
// since empty appends queue before them (trouble-2 of sutepuu-sched).
TEST_CASE("Empty appends wait for each other and for records") {
  journal_fixture fixture;
  int empty = 0;
  int records = 0;
  int most = 0;
  fixture.port.append = [&, send = fixture.port.append](
                            stream_name name, const std::optional<append_guard>& guard,
                            const std::vector<stream_record>& rows, auto done) {
    int& open = rows.empty() ? empty : records;
    ++open;
    if (rows.empty()) most = std::max(most, empty + records);
    send(name, guard, rows, [&open, done](const result<std::uint64_t>& outcome) {
      --open;
      done(outcome);
    });
  };
  fixture.writer->Fence([](errc) {});
  fixture.store.Run(milliseconds(2000));
  fixture.store.answer_delay = milliseconds(900);
  SECTION("without records") {
    fixture.store.Run(milliseconds(5000));
    CHECK(fixture.store.now - fixture.confirmed <= milliseconds(2500));
  }
  SECTION("with records") {
    for (std::uint64_t i = 1; i <= 50; ++i) {
      fixture.writer->Add(i, cell::term_record{i});
      fixture.writer->Confirm();
      fixture.store.Run(milliseconds(100));
    }
    fixture.store.Run(milliseconds(3000));
    CHECK(fixture.durable == 50);
  }
  CHECK(most == 1);
}

// Guards against a store that refuses appends for their number, and gets more of them.
TEST_CASE("A wanted confirmation that the store refuses is not sent again at once") {
  journal_fixture fixture;
  fixture.writer->Fence([](errc) {});
  fixture.store.Run(milliseconds(100));
  int refused = 0;
  fixture.port.append = [&](stream_name, const std::optional<append_guard>&,
                            const std::vector<stream_record>&, auto done) {
    ++refused;
    fixture.port.run_at(fixture.store.now + milliseconds(1), [done] { done(errc::kOverloaded); });
  };
  fixture.writer->Confirm();
  fixture.store.Run(milliseconds(2000));
  CHECK(refused > 1);
  CHECK(refused <= 9);
}

// Guards against retries that add load to a store that is only slow.
TEST_CASE("Appends to a slow store are not retried once its answer time is known") {
  journal_fixture fixture;
  fixture.store.answer_delay = milliseconds(300);
  constexpr std::uint64_t kBatches = 20;
  for (std::uint64_t i = 1; i <= kBatches; ++i) {
    fixture.writer->Add(i, cell::term_record{i});
    fixture.store.Run(milliseconds(320));
  }
  fixture.store.Run(milliseconds(320));
  CHECK(fixture.durable == kBatches);
  CHECK(fixture.store.appends <= kBatches + 5);
}

// Guards against two owners writing to the journal at the same time.
TEST_CASE("A newer epoch fences the older writer") {
  journal_fixture fixture;
  fixture.writer->Add(1, cell::term_record{1});
  fixture.store.Run(milliseconds(50));
  const auto old = fixture.writer;
  fixture.Open(2);
  errc code = errc::kInternal;
  fixture.writer->Fence([&](errc outcome) { code = outcome; });
  fixture.store.Run(milliseconds(50));
  CHECK(code == errc::kOk);
  old->Add(2, cell::term_record{5});
  fixture.store.Run(milliseconds(100));
  CHECK(fixture.fenced);
  CHECK(fixture.durable == 1);
  fixture.Open(1);
  fixture.writer->Fence([&](errc outcome) { code = outcome; });
  fixture.store.Run(milliseconds(50));
  CHECK(code == errc::kStaleTerm);
}

}  // namespace
}  // namespace sycamorehinge::control::testing
