// Publishes one record: appends it, looks for it when a response is lost, and follows its verdict.
//
//   BOOST_LEAF_AUTO(report, runPublish(access, latest, record, access.now() + seconds(20)));
//   if (report.action == publish_action::ReportAccepted) ...
#pragma once

#include "pistachioquay/access.h"
#include "pistachioquay/state_reader.h"
#include "version/fold/edit_record.h"
#include "version/fold/publish.h"

namespace pistachioquay {

// runPublish returns one of the reports. `latest` is the state from which the record was made. Not thread safe for one
// access. Fails with Unavailable if the log refuses the record for good, in which case it was not appended.
result<publish_decision>
runPublish(cli_access &access, log_state latest, const edit_record &record, time_point deadline);

} // namespace pistachioquay
