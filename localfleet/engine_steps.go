package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"syscall"

	"dunlinloom/checker"
	"dunlinloom/kernel"
)

// The steps of a scenario that do something to one engine.

func (s *Cluster) stepEngine(ctx context.Context, step Step, engine *actor) error {
	faults := func(content string) error {
		_, _, _, err := do(ctx, http.MethodPut, "http://"+engine.public+"/control/faults", []byte(content), nil)
		return err
	}
	failed := func() { s.take(checker.Event{At: now(), What: checker.EngineFailed, Engine: engine.name}) }
	switch step.Do {
	case "engine-kill":
		failed()
		engine.halt()
		return s.again(ctx, step.ForMS, engine)
	case "engine-gone":
		failed()
		engine.halt()
		if _, _, _, err := do(ctx, http.MethodDelete, "http://"+s.platform.public+"/control/engines/"+engine.name, nil, nil); err != nil {
			return err
		}
		return s.again(ctx, step.ForMS, engine)
	case "engine-freeze":
		failed()
		engine.signal(syscall.SIGSTOP)
		pause(ctx, step.ForMS)
		engine.signal(syscall.SIGCONT)
		s.take(checker.Event{At: now(), What: checker.EngineMended, Engine: engine.name})
		return nil
	case "engine-dark":
		failed()
		if err := faults(`{"dark":true}`); err != nil {
			return err
		}
		pause(ctx, step.ForMS)
		s.take(checker.Event{At: now(), What: checker.EngineMended, Engine: engine.name})
		return faults(`{}`)
	case "engine-break":
		failed()
		return faults(`{"break_after":700}`)
	case "not-run":
		return faults(fmt.Sprintf(`{"not_run":%d}`, max(step.Count, 1)))
	case "engine-retire":
		if _, _, _, err := do(ctx, http.MethodPut, "http://"+engine.public+"/control/leave", nil, nil); err != nil {
			return err
		}
		// Some node learns of it with the next report, which is half a second late.
		s.take(checker.Event{At: now() + 1500*kernel.Millisecond, What: checker.EngineLeaving, Engine: engine.name, Start: engine.start})
		pause(ctx, 6000)
		failed()
		engine.halt()
		return s.again(ctx, max(step.ForMS, 500), engine)
	case "engine-leave":
		nodes := s.members()
		node := nodes[int(engine.start)%len(nodes)]
		marked := now()
		status, _, body, err := do(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/engines/%s/leaving?start=%d", node.public, engine.name, engine.start), nil, nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return ClusterError{"mark " + engine.name, ClusterMissing{string(body)}}
		}
		s.take(checker.Event{At: marked, What: checker.EngineLeaving, Engine: engine.name, Start: engine.start})
		pause(ctx, 5000)
		failed()
		engine.halt()
		return s.again(ctx, max(step.ForMS, 500), engine)
	}
	return ClusterError{"step", ClusterMissing{step.Do}}
}
