#include <criterion/criterion.h>

#include "scheduler/EndpointTable.h"

namespace dotterelcove {

// Guards against a second probe of an ejected endpoint: the release of a slot
// from before the ejection once counted as the end of the probe.
Test(EndpointTable, ejected_endpoint_gets_one_probe_at_a_time) {
  EndpointTable table;
  Vm failing;
  failing.id = "e1";
  failing.role = VmRole::kEndpoint;
  failing.service = "s";
  failing.slots = 8;
  failing.connections = 64;
  table.SetVmList({failing});
  const bool earlier = table.AcquireSlot("e1");
  cr_expect_not(earlier);
  table.RecordResult("e1", wire::SlotResult::RefusedByEndpoint, false, 1'000);
  constexpr TimeMs kLater = 1'000'000;
  cr_assert_not_null(table.Pick("s", true, kLater));
  const bool probe = table.AcquireSlot("e1");
  cr_expect(probe);
  table.ReleaseSlot("e1", earlier);
  cr_expect_null(table.Pick("s", true, kLater));
  table.ReleaseSlot("e1", probe);
  cr_expect_not_null(table.Pick("s", true, kLater));
}

}  // namespace dotterelcove
