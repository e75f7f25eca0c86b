package faultproxy

// This file applies commands to links at the times of a schedule.

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Action is the command of a step.
type Action string

// The actions of a schedule. Each calls the method of Network in its comment.
const (
	SetFaultAction   Action = "set"        // SetFault
	HealAction       Action = "heal"       // Heal
	ResetAction      Action = "cut"        // Reset
	HalfCloseAction  Action = "half-close" // HalfClose
	ResetAfterAction Action = "cut-amid"   // ResetAfter
)

// ErrUnknownAction is wrapped by the error for a step whose action does not exist.
var ErrUnknownAction = errors.New("unknown action")

// Step is one action of a schedule.
type Step struct {
	At        time.Duration `yaml:"at"`    // from the start of the schedule
	Action    Action        `yaml:"do"`    // one of the actions above
	Links     string        `yaml:"on"`    // pattern of the links' names, as for Network.Links
	Direction Direction     `yaml:"way"`   // for SetFaultAction
	Fault     Fault         `yaml:"fault"` // for SetFaultAction
	Bytes     int           `yaml:"bytes"` // for ResetAfterAction
}

// Apply applies a step at once and ignores its time. It returns an error that wraps ErrUnknownAction if its action does not
// exist.
func (n *Network) Apply(step Step) error {
	switch step.Action {
	case SetFaultAction:
		n.SetFault(step.Links, step.Direction, step.Fault)
	case HealAction:
		n.Heal(step.Links)
	case ResetAction:
		n.Reset(step.Links)
	case HalfCloseAction:
		n.HalfClose(step.Links)
	case ResetAfterAction:
		n.ResetAfter(step.Links, step.Bytes)
	default:
		return fmt.Errorf("faultproxy: links %q: %w %q", step.Links, ErrUnknownAction, step.Action)
	}
	return nil
}

// RunSchedule applies the steps, which must be in the order of their times. The times count from the call. RunSchedule returns
// after the last step, or with the error of the first step that fails, or with the error of ctx once ctx ends.
func (n *Network) RunSchedule(ctx context.Context, steps []Step) error {
	start := time.Now()
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(step.At))):
		}
		if err := n.Apply(step); err != nil {
			return err
		}
	}
	return nil
}
