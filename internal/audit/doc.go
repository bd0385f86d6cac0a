// Package audit owns the history of admissions: what each controller admitted, blocked and
// released under which team's limit. A controller writes its records to a compressed stream
// through a bounded queue; the segments of the stream are chained by a hash. Verify replays the
// streams of all controllers together and reports whether any limit was exceeded, any guarantee
// unmet, or any part of the history is missing.
//
// Read and Verify detect every changed, truncated or incomplete stream. Append never waits for
// the disk: records for which the queue has no room are dropped and counted. The package never
// decides on an admission, and nothing that it reads has an effect on a running controller.
package audit
