package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/lab/hollow"
)

func hollowCommand(log *logging) *cobra.Command {
	c := &cobra.Command{
		Use:    "hollow SPEC",
		Short:  "Run many directors in one process that only talk, with no clients and no machines",
		Hidden: true,
		Long: "Starts the directors that a file names (JSON), writes the address of its desk to standard output as one line of JSON, and ends\n" +
			"at SIGTERM, with duties handed over, or at the end of its standard input, at once. SIGHUP reads operator files again.",
		Args: exactly(1),
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		json, level, err := log.check()
		if err != nil {
			return err
		}
		to := logrus.New()
		to.SetOutput(c.ErrOrStderr())
		to.SetLevel(level)
		if json {
			to.SetFormatter(&logrus.JSONFormatter{})
		}
		return runHollow(args[0], c.InOrStdin(), c.OutOrStdout(), to.WithField("part", "hollow"))
	}
	c.AddCommand(hollowTalkCommand())
	return c
}

// runHollow runs a host until its standard input ends or it is told to leave.
func runHollow(path string, in io.Reader, out io.Writer, log *logrus.Entry) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var s hollow.Spec
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		io.Copy(io.Discard, in)
		cancel()
	}()
	h, err := hollow.Open(s, log)
	if err != nil {
		return err
	}
	defer h.Close()
	if err := json.NewEncoder(out).Encode(hollow.Line{Desk: h.Addr()}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s != syscall.SIGHUP {
				h.Leave()
				return nil
			}
			if err := h.Reload(); err != nil {
				log.WithError(err).Error("operator files: not taken by all")
			}
		}
	}
}

func hollowTalkCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "talk",
		Short: "Measure what talk costs by the number of directors, and hollow directors beside real ones",
		Long: "Measures a mesh and control machines with directors that follow them, on loopback, and draws lines through sizes up to 290. Ends\n" +
			"with 1 where these do not foretell what is measured at 580 within 15%.",
		Args: exactly(0),
	}
	asJSON := c.Flags().Bool("json", false, "print JSON")
	sizes := c.Flags().IntSlice("sizes", []int{10, 20, 40, 64, 290, 580}, "numbers of directors; of a mesh those up to 64")
	kinds := c.Flags().StringSlice("kinds", []string{hollow.Mesh, hollow.Control}, "mesh, control")
	beside := c.Flags().Int("real", 20, "real directors that hollow ones are compared with; 0: none")
	c.RunE = func(c *cobra.Command, _ []string) error {
		program, err := os.Executable()
		if err != nil {
			return err
		}
		if *beside < 0 || *beside > hollow.MostReal {
			return wrongCall{fmt.Errorf("--real from 0 to %d is expected", hollow.MostReal)}
		}
		for _, n := range *sizes {
			if n < 2 || n > hollow.MostOfControl {
				return wrongCall{fmt.Errorf("--sizes from 2 to %d are expected", hollow.MostOfControl)}
			}
		}
		for _, kind := range *kinds {
			if kind != hollow.Mesh && kind != hollow.Control {
				return wrongCall{fmt.Errorf("--kinds: %q is neither %s nor %s", kind, hollow.Mesh, hollow.Control)}
			}
		}
		answer := struct {
			Talks      []*hollow.Talk     `json:"talk"`
			Comparison *hollow.Comparison `json:"comparison"`
		}{}
		m := hollow.NewMeter(program)
		m.Tell = func(what string) { fmt.Fprintln(c.ErrOrStderr(), "measured:", what) }
		holds := true
		for _, kind := range *kinds {
			var list []int
			for _, n := range *sizes {
				if kind != hollow.Mesh || n <= hollow.MostOfMesh {
					list = append(list, n)
				}
			}
			t, err := m.Talk(kind, list)
			if err != nil {
				return err
			}
			answer.Talks, holds = append(answer.Talks, t), holds && t.Holds
		}
		if *beside > 0 {
			if answer.Comparison, err = m.Compare(*beside); err != nil {
				return err
			}
		}
		if *asJSON {
			err = printJSON(c.OutOrStdout(), &answer)
		} else {
			for _, t := range answer.Talks {
				printTalk(c.OutOrStdout(), t)
			}
			if answer.Comparison != nil {
				printComparison(c.OutOrStdout(), answer.Comparison)
			}
		}
		if err == nil && !holds {
			err = errors.New("sizes up to 290 do not foretell 580 within 15%")
		}
		return err
	}
	return c
}

// rateCells are the cells of a table for a set of rates.
func rateCells(r hollow.Rates) []any {
	return []any{fmt.Sprintf("%.0f", r.Received), fmt.Sprintf("%.0f", r.Written), fmt.Sprintf("%.3f%%", 100*r.Core), fmt.Sprintf("%.0f", r.Resident/1024),
		fmt.Sprintf("%.1f", r.Goroutines)}
}

var rateHead = []any{"received bytes/s", "written bytes/s", "of a core", "resident KB", "goroutines"}

func printTalk(out io.Writer, t *hollow.Talk) {
	fmt.Fprintf(out, "Talk, %s:\n", t.Kind)
	table := newTable(out, append([]any{"directors", "settled in", "of"}, rateHead...)...)
	for _, s := range t.Sizes {
		took := s.Settled.Round(100 * time.Millisecond)
		table.AppendRow(append([]any{s.Directors, took, "a director"}, rateCells(s.Director)...))
		if s.Control != nil {
			table.AppendRow(append([]any{s.Directors, took, "a control machine, mean"}, rateCells(*s.Control)...))
			table.AppendRow(append([]any{s.Directors, took, "a control machine, most"}, rateCells(*s.Most)...))
		}
	}
	table.Render()
	table = newTable(out, "sizes up to 290", "at 0", "each director", "foretold at 580", "measured", "off by")
	for _, s := range t.Slopes {
		measured, off := "not measured", ""
		if s.Measured != 0 {
			measured, off = fmt.Sprintf("%.4g", s.Measured), fmt.Sprintf("%+.1f%%", 100*s.Error)
			if !s.Holds {
				off += ", too far"
			}
		}
		table.AppendRow([]any{s.What, fmt.Sprintf("%.4g", s.Base), fmt.Sprintf("%.4g", s.Each), fmt.Sprintf("%.4g", s.Foretold), measured, off})
	}
	table.Render()
}

func printComparison(out io.Writer, c *hollow.Comparison) {
	fmt.Fprintf(out, "Following control machines, a director of %d:\n", c.Directors)
	table := newTable(out, append([]any{""}, rateHead...)...)
	for _, x := range []struct {
		what string
		r    hollow.Rates
	}{{"real, without an operator file", c.Without}, {"real, with", c.With}, {"real, the difference", c.Real}, {"hollow, less a host of none", c.Hollow}} {
		table.AppendRow(append([]any{x.what}, rateCells(x.r)...))
	}
	table.AppendRow([]any{"hollow to real", times(c.Ratio.Received), times(c.Ratio.Written), times(c.Ratio.Core), times(c.Ratio.Resident), ""})
	table.Render()
}
