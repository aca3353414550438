package main

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

// killDelay is the time from the acknowledgement to the kill: DELAY_MS, or none.
func killDelay() time.Duration {
	if delay, err := strconv.Atoi(os.Getenv("DELAY_MS")); err == nil {
		return time.Duration(delay) * time.Millisecond
	}
	return 0
}

// removedEngine checks DRAIN: an engine that leaves says DELETE, it is acknowledged, and at once all processes are killed
// and started again. A beat that the engine sent before its DELETE comes seconds late.
func removedEngine(recordFile string) {
	const host, path = "ficu95.example", "/pufi791/2f"
	r := newRig(recordFile, 9)
	r.startAll()
	r.putConfig(0, 1, config(1))
	engines := []*engine{}
	for i := range 6 {
		e := r.newEngine(i+1, "huvo11a", r.zones[i%3])
		engines = append(engines, e)
		go e.beats()
	}
	r.awaitService(host, path)
	time.Sleep(contact)
	stop := make(chan struct{})
	wait := r.traffic(20*time.Millisecond, host, path, stop)
	time.Sleep(2 * time.Second)

	// The engine is replaced: the new one starts first, then the old one leaves.
	leaving := engines[0]
	close(leaving.quit)
	time.Sleep(beatSpan + 200*time.Millisecond)
	late := leaving.beat("up")
	lateSentAt := time.Now()
	r.note("engine %s sends beat %d, which is held on its way", leaving.id, leaving.seq)
	successor := r.newEngine(7, "huvo11a", leaving.zone)
	_, _, isTaken := successor.tell("PUT", successor.beat("up"), 4)
	go successor.beats()
	time.Sleep(100 * time.Millisecond)
	leaving.isLeaving.Store(true)
	ackAt, by, isAcked := leaving.tell("DELETE", nil, 4)
	if !isTaken || !isAcked {
		r.cannotRun("the engines' calls were not acknowledged")
	}
	if trouble() {
		time.Sleep(killDelay())
		for _, m := range r.machines {
			_ = m.command.Process.Signal(syscall.SIGKILL)
		}
	}
	r.note("DELETE of engine %s acknowledged by %s", leaving.id, by)
	inTouch := ackAt
	if trouble() {
		r.note("all processes killed")
		for _, m := range r.machines {
			<-m.ended
		}
		time.Sleep(600 * time.Millisecond)
		for _, m := range r.machines {
			r.start(m)
		}
		inTouch = time.Now().Add(2 * contact)
		r.note("all processes started again; in touch at %.3f", inTouch.Sub(r.started).Seconds())
	}
	time.Sleep(time.Until(ackAt.Add(4500 * time.Millisecond)))
	for _, m := range r.machines {
		status, _ := call(time.Second, "PUT", "http://"+m.at(portControl)+"/v1/engines/"+leaving.id, map[string]string{"Content-Type": "application/json"}, late)
		r.note("the late beat of engine %s reaches %s, %.1f s after it was sent: %d", leaving.id, m.name, time.Since(lateSentAt).Seconds(), status)
		if status != 0 {
			break
		}
	}
	time.Sleep(time.Until(ackAt.Add(10 * time.Second)))
	leaving.end()
	r.note("engine %s ends", leaving.id)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	sent, broken, served := wait(), 0, 0
	for _, out := range sent {
		if out.status == 200 && out.sentAt.After(inTouch) {
			served++
		}
		for _, entry := range r.runsOf(out.id) {
			if entry.engine == leaving.id && out.sentAt.After(inTouch) && entry.at.After(ackAt.Add(drainSpan)) {
				broken++
				r.note("DRAIN: request %s, sent to %s at %.3f, ran at engine %s %.3f s after its end was acknowledged", out.id, out.to, out.sentAt.Sub(r.started).Seconds(), entry.engine, entry.at.Sub(ackAt).Seconds())
			}
		}
	}
	if served == 0 {
		r.cannotRun("nothing was served by machines in touch")
	}
	r.finish(broken > 0, "%d requests of machines in touch reached the engine later than drain_ms after its end was acknowledged; %d were served in that time", broken, served)
}
