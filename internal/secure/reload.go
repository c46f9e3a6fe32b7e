package secure

import (
	"context"
	"time"
)

// ReloadInterval is the time between two checks of the files.
const ReloadInterval = 2 * time.Second

// Reloader holds what it has loaded from files and can load them again.
type Reloader interface {
	// Reload reads the files and reports whether a changed version took effect. On an error the previous version stays.
	Reload() (bool, error)
}

// ReloadEvent is the result of a reload that Watch reports.
type ReloadEvent struct {
	// Name is that of the NamedReloader.
	Name string
	// Err is nil after a reload that took effect.
	Err error
}

// NamedReloader is a Reloader with its name in logs and metrics.
type NamedReloader struct {
	Name     string
	Reloader Reloader
}

// Watch calls Reload on every item once per interval until the context ends. It reports each reload that took effect, and
// the first of several consecutive errors of an item.
func Watch(ctx context.Context, interval time.Duration, items []NamedReloader, report func(ReloadEvent)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failed := make([]bool, len(items))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, item := range items {
			changed, err := item.Reloader.Reload()
			if changed || (err != nil && !failed[i]) {
				report(ReloadEvent{Name: item.Name, Err: err})
			}
			failed[i] = err != nil
		}
	}
}
