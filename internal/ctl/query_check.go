package ctl

import (
	"fmt"
	"os"

	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/settings"
	"carobshunt/internal/strictjson"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// CheckReport is what "check" prints.
type CheckReport struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
	// Faults lists every fault with its path.
	Faults []strictjson.Fault `json:"faults"`
}

func (a *app) newCheck() *cobra.Command {
	cmd := &cobra.Command{Use: "check", Short: "Check a file before it is published or used; status 2 and all faults if invalid"}
	cmd.AddCommand(
		a.checkCommand("document", "Check a document with presets and teams", func(data []byte) error {
			_, err := document.Parse(data)
			return err
		}),
		a.checkCommand("hosts", "Check a host list", func(data []byte) error {
			_, err := hostlist.Parse(data)
			return err
		}),
		a.checkCommand("settings", "Check a daemon's settings", func(data []byte) error {
			_, err := settings.Parse(data)
			return err
		}),
		a.newCheckConfig(),
	)
	return cmd
}

func (a *app) checkCommand(kind, short string, parse func([]byte) error) *cobra.Command {
	return &cobra.Command{
		Use:   kind + " FILE",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: a.run(func(_ *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Trace(err)
			}
			r, err := checkReport(args[0], parse(data))
			if err != nil {
				return errors.Trace(err)
			}
			if err := a.print(r); err != nil {
				return errors.Trace(err)
			}
			return r.exitError()
		}),
	}
}

// checkReport makes a report of a parser's error. An error that is not a list of faults is returned as it is.
func checkReport(file string, err error) (*CheckReport, error) {
	r := &CheckReport{File: file, Valid: err == nil, Faults: []strictjson.Fault{}}
	var faults *strictjson.Faults
	switch {
	case err == nil:
	case errors.As(err, &faults):
		r.Faults = faults.List
	default:
		return nil, errors.Trace(err)
	}
	return r, nil
}

func (r *CheckReport) exitError() error {
	if r.Valid {
		return nil
	}
	return &StatusError{Status: ExitInvalid, Reason: fmt.Sprintf("%s: %d faults", r.File, len(r.Faults))}
}

func (r *CheckReport) table(w *tableWriter) {
	if r.Valid {
		w.line("%s is valid", r.File)
		return
	}
	w.row("PATH", "FAULT")
	for _, f := range r.Faults {
		w.row(orDash(f.Path), f.Reason)
	}
}
