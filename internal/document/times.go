package document

import "time"

// maxTime is what longer times of a document count as. Times are added to others, and small multiples of them are summed over
// all targets: 7,000 times twice this is still within the range of time.Duration.
const maxTime = 7 * 24 * time.Hour

// Milliseconds returns a time in milliseconds as a duration of at most maxTime.
func Milliseconds(ms float64) time.Duration {
	if ms < float64(maxTime/time.Millisecond) {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return maxTime // it is as long, or no number
}
