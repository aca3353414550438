package modelcheck

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Found is a violation with the trace that leads to it.
type Found struct {
	Scenario  Scenario
	Violation ViolationError
	Trace     Trace
	Steps     int
	States    int // that had been visited when it was found
}

// Result is the outcome of a search.
type Result struct {
	States   int // visited, each once
	Runs     int
	Depth    int // of the longest run, in steps
	Steps    int // of all random runs
	Complete int // all runs with so many deviations were explored
	Found    *Found
	Err      error // an UnjudgedRunError: a run came to no verdict, and the search ended there
}

// UnjudgedRunError says that a run came to no verdict: it neither broke an invariant nor was shown to
// keep all of them.
type UnjudgedRunError struct {
	Scenario string
	Trace    Trace
	Cause    error
}

func (err UnjudgedRunError) Error() string {
	return fmt.Sprintf("a run of %q with the trace %s came to no verdict: %v", err.Scenario, err.Trace, err.Cause)
}

// Unwrap gives the cause.
func (err UnjudgedRunError) Unwrap() error { return err.Cause }

// Bounds end a search.
type Bounds struct {
	Deviations int         // in the exhaustive part
	States     int         // visited; zero: no bound
	Runs       int         // random ones; zero: no bound. With it, walks count no states.
	IsOver     func() bool // called between runs; nil: never over
}

func (b Bounds) isOver(states int) bool {
	return b.States > 0 && states >= b.States || b.IsOver != nil && b.IsOver()
}

// path is a run's last deviation, and where it comes after.
type path struct {
	before    *path
	deviation Deviation
	length    int
}

func (p *path) trace() Trace {
	trace := Trace{}
	for ; p != nil && p.length > 0; p = p.before {
		trace = append(trace, p.deviation)
	}
	slices.Reverse(trace)
	return trace
}

// explorer is an exhaustive search over all runs with few deviations, the fewest first. A
// state that was visited before is not gone on from: whatever follows it was, or will be,
// explored with no more deviations.
type explorer struct {
	scenario Scenario
	bounds   Bounds
	visited  map[uint64]struct{}
	queue    []*path
	result   Result
}

// Explore searches a scenario exhaustively up to a number of deviations.
func Explore(scenario Scenario, bounds Bounds) Result {
	e := &explorer{scenario: scenario, bounds: bounds, visited: map[uint64]struct{}{}, queue: []*path{{}}}
	for len(e.queue) > 0 && !e.result.isOver() {
		next := e.queue[0]
		e.queue[0] = nil
		e.queue = e.queue[1:]
		e.result.Complete = max(next.length-1, 0)
		if bounds.isOver(len(e.visited)) {
			return e.end()
		}
		e.follow(next)
	}
	if !e.result.isOver() {
		e.result.Complete = bounds.Deviations
	}
	return e.end()
}

// isOver reports whether a run has ended the search: by a violation, or without a verdict.
func (r Result) isOver() bool { return r.Found != nil || r.Err != nil }

// take records how a run ended. Every error is a finding or ends the search as an UnjudgedRunError.
func (r *Result) take(run Found, err error) {
	if err == nil {
		return
	}
	var violation ViolationError
	if !errors.As(err, &violation) {
		r.Err = UnjudgedRunError{Scenario: run.Scenario.Name, Trace: run.Trace, Cause: err}
		return
	}
	run.Violation = violation
	r.Found = shorten(run)
}

func (e *explorer) end() Result {
	e.result.States = len(e.visited)
	return e.result
}

// follow plays one run, and queues all runs that deviate once more from its new states.
func (e *explorer) follow(from *path) {
	e.result.Runs++
	trace := from.trace()
	last := -1
	if len(trace) > 0 {
		last = trace[len(trace)-1].Step
	}
	w := NewWorld(e.scenario.Settings)
	var livelock error
	ownStates := map[uint64]bool{} // visited for the first time by this run
	visit := func(step int) bool {
		e.result.Depth = max(e.result.Depth, step+1)
		if step < last || w.timeStep < e.scenario.Prologue {
			return true
		}
		state := w.Fingerprint()
		if ownStates[state] {
			// All steps after the last deviation follow from the state alone.
			livelock = violated(RunsEnd, "after step %d the run is in a state that it was in before", step)
			return false
		}
		if _, isKnown := e.visited[state]; isKnown {
			return false
		}
		e.visited[state], ownStates[state] = struct{}{}, true
		if from.length < e.bounds.Deviations {
			for _, choice := range w.Choices() {
				e.queue = append(e.queue, &path{from, Deviation{step + 1, choice}, from.length + 1})
			}
		}
		return true
	}
	steps, err := w.Run(trace, e.scenario.MaxTimeSteps, visit)
	if err == nil {
		err = livelock
	}
	if err == nil && w.timeStep >= e.scenario.MaxTimeSteps {
		err = w.checkHistory()
	}
	e.result.take(Found{Scenario: e.scenario, Trace: trace, Steps: steps, States: len(e.visited)}, err)
}

// Replay plays a trace and returns the number of steps taken and the violation, if there is one.
// logLine, which may be nil, is called with each line of the log. Its errors are those of
// World.Step, and of a history that could not be checked.
func Replay(scenario Scenario, trace Trace, logLine func(text string)) (steps int, err error) {
	w := NewWorld(scenario.Settings)
	w.Trace = logLine
	steps, err = w.Run(trace, scenario.MaxTimeSteps, nil)
	if err != nil {
		return steps, err
	}
	return steps, w.checkHistory()
}

// shorten removes every deviation from a trace that its violation does not need.
func shorten(found Found) *Found {
	for isShorter := true; isShorter; {
		isShorter = false
		for i := range found.Trace {
			shorter := slices.Delete(slices.Clone(found.Trace), i, i+1)
			steps, err := Replay(found.Scenario, shorter, nil)
			var violation ViolationError
			if errors.As(err, &violation) && violation.Invariant == found.Violation.Invariant {
				found.Trace, found.Violation, found.Steps = shorter, violation, steps
				isShorter = true
				break
			}
		}
	}
	return &found
}

// walk is a random run: at each step a deviation is drawn with some chance.
type walk struct {
	random     *rand.Rand
	trace      Trace
	visited    map[uint64]struct{}
	isCounting bool
}

// weights of the kinds of deviations in random walks; the others have one.
var weights = map[Action]int{Deliver: 2, Delay: 3, Duplicate: 2, Release: 4, PassTime: 1, SkewClock: 2, Sync: 2, Start: 4, Resume: 4, Heal: 4}

func (r *walk) draw(choices []Choice) Choice {
	sum := 0
	for _, choice := range choices {
		sum += max(weights[choice.Action], 1)
	}
	drawn := r.random.IntN(sum)
	for _, choice := range choices {
		if drawn -= max(weights[choice.Action], 1); drawn < 0 {
			return choice
		}
	}
	return Choice{}
}

// drawDeviationInterval is one in how many steps of a walk deviates; each walk draws its own.
func drawDeviationInterval(random *rand.Rand) int { return []int{4, 8, 16, 32, 64}[random.IntN(5)] }

// Walk plays random runs of a scenario, each replayed by its seed, until the bounds are met.
func Walk(scenario Scenario, seed uint64, bounds Bounds) Result {
	result, visited := Result{}, map[uint64]struct{}{}
	for ; !bounds.isOver(len(visited)) && !result.isOver(); seed++ {
		if bounds.Runs > 0 && result.Runs >= bounds.Runs {
			break
		}
		run := &walk{random: rand.New(rand.NewPCG(seed, 17)), visited: visited, isCounting: bounds.Runs == 0}
		depth, err := run.play(scenario)
		result.Runs++
		result.Depth = max(result.Depth, depth)
		result.Steps += depth
		result.take(Found{Scenario: scenario, Trace: run.trace, Steps: depth, States: len(visited)}, err)
	}
	result.States = len(visited)
	return result
}

// play plays one random run and records its trace. Its errors are those of Replay.
func (r *walk) play(scenario Scenario) (steps int, err error) {
	w := NewWorld(scenario.Settings)
	w.isWithoutFingerprints = !r.isCounting
	every := drawDeviationInterval(r.random)
	for ; w.timeStep < scenario.MaxTimeSteps && steps < maxSteps && err == nil; steps++ {
		choice := Choice{}
		if w.timeStep >= scenario.Prologue && r.random.IntN(every) == 0 {
			choice = r.draw(w.Choices())
			r.trace = append(r.trace, Deviation{steps, choice})
		}
		if err = w.Step(choice); err == nil && r.isCounting {
			r.visited[w.Fingerprint()] = struct{}{}
		}
	}
	if err == nil {
		err = runEnds(w, scenario.MaxTimeSteps)
	}
	if err == nil {
		err = w.checkHistory()
	}
	return steps, err
}

func (f Found) String() string {
	return fmt.Sprintf("%s\n  in %q, after %d steps with %d deviations\n  trace: %s", f.Violation, f.Scenario.Name, f.Steps, len(f.Trace), f.Trace)
}
