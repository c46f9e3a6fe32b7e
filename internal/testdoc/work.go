package testdoc

import "runtime"

// Work is what a function allocates. Unlike its duration, this does not depend on the speed of the machine.
type Work struct{ Objects, Bytes uint64 }

// LeastWorkOf returns the least of what some calls of a function allocate. What other goroutines allocate meanwhile only adds to it.
func LeastWorkOf(calls int, f func()) Work {
	least := WorkOf(f)
	for range calls - 1 {
		w := WorkOf(f)
		least = Work{Objects: min(least.Objects, w.Objects), Bytes: min(least.Bytes, w.Bytes)}
	}
	return least
}

// WorkOf returns what a function allocates, with what other goroutines allocate meanwhile.
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
