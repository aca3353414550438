package soak

import (
	"math/rand/v2"

	"dunlinloom/internal/kernel"
	"dunlinloom/test/checker"
	"dunlinloom/test/emulator"
)

// Steps that make engines fail, leave or change.

// makeEngineFaulty returns a step that injects faults into an engine for the step's span.
func makeEngineFaulty(why string, isSilent bool, wrong emulator.ModelFaults) faultFunc {
	return func(f *fleet, s step, _ *rand.Rand) error {
		e := f.pickEngine()
		if e == nil {
			return errNoEngine
		}
		s.faultName = why
		defer f.recordFault(s, e.id, "")()
		e.setFaulty(true, isSilent)
		e.model.SetFaults(wrong)
		pause(f.context, s.span)
		e.model.SetFaults(emulator.ModelFaults{})
		e.setFaulty(false, false)
		return nil
	}
}

// crash ends an engine without an announcement, and returns a function that records the end of the fault.
func (f *fleet) crash(s step, e *engine) (endFault func()) {
	endFault = f.recordFault(s, e.id, "")
	f.recordEvent(checker.RoutedEvent{EventKind: checker.EngineCrashed, Engine: e.id})
	e.end()
	return endFault
}

func crashEngine(f *fleet, s step, _ *rand.Rand) error {
	e := f.pickEngine()
	if e == nil {
		return errNoEngine
	}
	defer f.crash(s, e)()
	pause(f.context, s.span)
	return f.startEngine(e.service, e.address)
}

// reuseSpan is the time after which the address of an ended engine may be reused by another engine.
const reuseSpan = 2 * kernel.Second

// reuseAddress starts an engine of another service at the address of an engine that crashed.
func reuseAddress(f *fleet, s step, _ *rand.Rand) error {
	e := f.pickEngine()
	if e == nil {
		return errNoEngine
	}
	defer f.crash(s, e)()
	pause(f.context, reuseSpan)
	other := serviceText
	if e.service == serviceText {
		other = servicePlain
	}
	if err := f.startEngine(other, e.address); err != nil {
		return err
	}
	pause(f.context, s.span)
	return f.startEngine(e.service, f.engineAddress())
}

// drainEngine starts a replacement for an engine and then drains the engine.
func drainEngine(f *fleet, s step, _ *rand.Rand) error {
	e, err := f.replaceEngine()
	if err != nil {
		return err
	}
	e.drain(s.index%3 > 0)
	return nil
}

// rollEngines replaces two engines, one after the other.
func rollEngines(f *fleet, s step, random *rand.Rand) error {
	if err := drainEngine(f, s, random); err != nil {
		return err
	}
	return drainEngine(f, s, random)
}
