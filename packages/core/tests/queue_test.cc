#include "sycamorehinge/core/queue.h"

#include <catch2/catch.hpp>
#include <set>

#include "pool_fixture.h"

namespace sycamorehinge {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class queue_driver {
 public:
  explicit queue_driver(queue_policy policy) : queue(policy) { shares.SetCapacity(Cores(10)); }

  queue_slot Add(std::uint64_t job, const char* work_class, const char* tenant) {
    queue_item entry;
    entry.item = Item(job, Cores(1), work_class, tenant);
    entry.work_class = shares.ClassOf(entry.item.work_class);
    entry.tenant = shares.TenantOf(entry.item.tenant);
    return queue.Add(entry, shares);
  }
  void Take(const char* work_class, const char* tenant, std::int64_t cores) {
    const class_index c = shares.ClassOf({work_class});
    const tenant_index t = shares.TenantOf({tenant});
    shares.Acquire(c, t, Cores(cores));
    queue.Reorder(c, t, shares);
  }
  std::vector<std::uint64_t> Order() const {
    std::vector<std::uint64_t> jobs;
    queue.VisitInOrder(shares, [&](queue_slot slot) {
      jobs.push_back(queue.At(slot).item.id.task.job.number);
      return false;
    });
    return jobs;
  }

  share_accounting shares;
  work_queue queue;
};

environment_document TwoClasses() {
  environment_document document;
  document.classes = {Class("low", 0.5, 1), Class("high", 0.3, 9)};
  tenant_rule heavy;
  heavy.name = {"heavy"};
  heavy.weight = 4;
  document.tenants = {heavy};
  return document;
}

// Guards against an urgent class that keeps others below their guaranteed share, and against
// ignoring urgency among classes that have their guaranteed share.
TEST_CASE("Classes are ordered by deficit and then by urgency") {
  queue_driver driver{fair_shares{}};
  driver.shares.SetRules(TwoClasses());
  driver.Add(1, "high", "t1");
  driver.Add(2, "low", "t1");
  CHECK(driver.Order() == std::vector<std::uint64_t>{2, 1});
  driver.Take("low", "t2", 3);
  CHECK(driver.Order() == std::vector<std::uint64_t>{1, 2});
  driver.Take("high", "t2", 3);
  CHECK(driver.Order() == std::vector<std::uint64_t>{2, 1});
  driver.Take("low", "t2", 3);
  CHECK(driver.Order() == std::vector<std::uint64_t>{1, 2});
}

// Guards against one tenant that takes a whole class, and against weights that have no effect.
TEST_CASE("Tenants are ordered by weighted dominant share") {
  queue_driver driver{fair_shares{}};
  driver.shares.SetRules(TwoClasses());
  driver.Add(1, "low", "t1");
  driver.Add(2, "low", "t1");
  driver.Add(3, "low", "heavy");
  driver.Take("low", "t1", 1);
  driver.Take("low", "heavy", 2);
  CHECK(driver.Order() == std::vector<std::uint64_t>{3, 1, 2});
  driver.Take("low", "heavy", 3);
  CHECK(driver.Order() == std::vector<std::uint64_t>{1, 2, 3});
}

// Guards against withdrawn items that stay in the queue, and against losing other items with them.
TEST_CASE("Removing many items leaves exactly the others") {
  queue_driver driver{fair_shares{}};
  std::vector<queue_slot> slots;
  for (std::uint64_t job = 0; job < 1000; ++job) {
    slots.push_back(driver.Add(job, "a", job % 3 == 0 ? "t1" : "t2"));
  }
  CHECK(driver.Add(7, "a", "t1") == kNoSlot);
  for (std::uint64_t job = 0; job < 1000; ++job) {
    if (job % 100 != 5) driver.queue.Remove(slots[job]);
  }
  CHECK(driver.queue.Size() == 10);
  const std::vector<std::uint64_t> order = driver.Order();
  CHECK(std::set<std::uint64_t>(order.begin(), order.end()) ==
        std::set<std::uint64_t>{5, 105, 205, 305, 405, 505, 605, 705, 805, 905});
  CHECK(driver.queue.Find(Id(6)) == kNoSlot);
  CHECK(driver.queue.Find(Id(5)) != kNoSlot);
}

// Guards against a fifo baseline that skips an item which does not fit.
TEST_CASE("The fifo baseline visits only its oldest item") {
  queue_driver driver{fifo{}};
  driver.Add(1, "low", "t1");
  driver.Add(2, "high", "t1");
  CHECK(driver.Order() == std::vector<std::uint64_t>{1});
}

}  // namespace
}  // namespace sycamorehinge
