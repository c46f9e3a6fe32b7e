package secure

import (
	"context"
	"time"
)

// ReloadInterval is the time between two looks at the files.
const ReloadInterval = 2 * time.Second

// Reloader is something that comes from files.
type Reloader interface {
	// Reload reads the files again and tells whether they had changed.
	Reload() (bool, error)
}

// ReloadEvent tells what came of looking at the files.
type ReloadEvent struct {
	// Name is the name of the Reloader in the settings.
	Name string
	// Err is nil after a reload that took effect.
	Err error
}

// Named is a Reloader with its name in the settings.
type Named struct {
	Name     string
	Reloader Reloader
}

// Watch looks at the files until the context ends. It reports each reload, and an error once until it is over.
func Watch(ctx context.Context, interval time.Duration, items []Named, report func(ReloadEvent)) {
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
