// Package audit owns the history of admissions: what each controller admitted, refused
// and released of which team's limit. A controller writes its records to a bounded,
// compressed stream whose segments are chained by a hash; Verify replays the streams of
// all controllers together and tells whether any limit was exceeded, any guarantee
// unmet, or any part of the history is missing.
//
// It promises that a changed, truncated or incomplete stream is told from a whole one,
// and that Append never waits for the disk: records that there is no room for are
// counted instead. It never decides on an admission, and nothing that it reads back has
// an effect on a running controller.
package audit
