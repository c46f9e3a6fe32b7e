package ctl

import (
	"io"
	"time"

	"carobshunt/internal/trace"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// generateFlags holds the flags that describe the trace to generate.
type generateFlags struct {
	scenario     string
	deployment   string
	percent      float64
	capacityKind string
	length       time.Duration
}

const defaultTraceLength = 10 * time.Minute

func (f *generateFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.scenario, "scenario", "", "scenario of the generated trace: ordinary, burst, rush, route-notes, contracts, "+
		"engine-dies, host-dies, zone-cut, late-drafts, stalled-digests, doubled-notice or slow-lookups")
	flags.StringVar(&f.deployment, "user", "sk-west", "deployment of the generated trace")
	flags.Float64Var(&f.percent, "percent", 85, "steady load of the generated trace, as a percentage of the capacity")
	flags.StringVar(&f.capacityKind, "of", string(trace.AttainableCapacity), "capacity that --percent is a share of: reference or attainable")
	flags.DurationVar(&f.length, "length", defaultTraceLength, "length of the generated trace")
}

func (f *generateFlags) generate(seed uint64) (*trace.Trace, error) {
	t, err := trace.Generate(trace.GenerateOptions{
		Scenario:     trace.Scenario(f.scenario),
		Deployment:   f.deployment,
		Seed:         seed,
		Percent:      f.percent,
		CapacityKind: trace.CapacityKind(f.capacityKind),
		Length:       f.length,
	})
	var optionErr *trace.OptionError
	if errors.As(err, &optionErr) {
		return nil, &StatusError{Status: ExitInvalid, Reason: optionErr.Error()}
	}
	return t, errors.Trace(err)
}

func newTrace(out io.Writer) *cobra.Command {
	f := &generateFlags{}
	seed := uint64(1)
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Generate a trace as JSON lines",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t, err := f.generate(seed)
			if err != nil {
				return err
			}
			return t.Write(out)
		},
	}
	f.register(cmd.Flags())
	cmd.Flags().Uint64Var(&seed, "seed", seed, "seed of the trace")
	_ = cmd.MarkFlagRequired("scenario")
	return cmd
}
