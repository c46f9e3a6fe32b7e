package testdoc

import "runtime"

// Work is what a function allocates. Unlike its duration, this does not depend on the speed of the machine.
type Work struct{ Objects, Bytes uint64 }

// WorkOf returns what a function allocates. No other goroutine may run meanwhile.
func WorkOf(f func()) Work {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return Work{Objects: after.Mallocs - before.Mallocs, Bytes: after.TotalAlloc - before.TotalAlloc}
}

// AtMost reports whether the work is at most a part of another one: a tenth for a part of 10.
func (w Work) AtMost(whole Work, part uint64) bool {
	return part*w.Objects <= whole.Objects && part*w.Bytes <= whole.Bytes
}
