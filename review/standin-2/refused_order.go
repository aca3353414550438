package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// put sends one try of an order to a machine.
func (r *rig) put(m *machine, base, version int) int {
	r.note("order %d on %d sent to %s", version, base, m.name)
	status, _ := call(time.Second, "PUT", "http://"+m.at(portControl)+"/v1/config",
		map[string]string{"If-Match": fmt.Sprint(base), "Content-Type": "application/json"}, []byte(config(version)))
	r.note("order %d on %d at %s: %d", version, base, m.name, status)
	return status
}

// version reads the version of the newest configuration, at any machine that answers.
func (r *rig) version() int {
	for i := range 20 {
		status, body := call(time.Second, "GET", "http://"+r.machines[i%len(r.machines)].at(portControl)+"/v1/config", nil, nil)
		var read struct {
			Version int `json:"ver"`
		}
		if status == 200 && json.Unmarshal(body, &read) == nil {
			r.note("read at %s: version %d", r.machines[i%len(r.machines)].name, read.Version)
			return read.Version
		}
	}
	return 0
}

// refusedOrder checks CONFIG: two orders are under way at once, the second on top of the first. The machine that gets
// both is frozen, so they are sent again elsewhere. The second one is refused there, since the first is not taken yet;
// then the first one is acknowledged, and the machine wakes.
func refusedOrder(recordFile string) {
	r := newRig(recordFile, 9)
	r.startAll()
	r.putConfig(0, 1, config(1))
	e := r.newEngine(1, "huvo11a", r.zones[0])
	go e.beats()
	time.Sleep(contact + 2*time.Second)
	frozen, other := r.machines[11], r.machines[4]
	if trouble() {
		_ = frozen.command.Process.Signal(syscall.SIGSTOP)
		r.note("%s frozen", frozen.name)
		time.Sleep(20 * time.Millisecond)
	}
	second := 0
	var group sync.WaitGroup
	if trouble() {
		// Both are silent for a second.
		group.Go(func() { second = r.put(frozen, 2, 3) })
		group.Go(func() { _ = r.put(frozen, 1, 2) })
		group.Wait()
		if second != 0 {
			r.cannotRun("the frozen machine answered")
		}
	}
	second = r.put(other, 2, 3)
	for tries := 0; second >= 500 && tries < 5; tries++ {
		second = r.put(other, 2, 3)
	}
	first := 0
	for tries := 0; first != 200 && tries < 5; tries++ {
		first = r.put(other, 1, 2)
	}
	if first != 200 || second < 400 || second >= 500 {
		r.cannotRun("order 2 got %d, order 3 got %d", first, second)
	}
	if got := r.version(); got != 2 {
		r.cannotRun("version %d is in force before the machine wakes", got)
	}
	if trouble() {
		_ = frozen.command.Process.Signal(syscall.SIGCONT)
		r.note("%s wakes", frozen.name)
	}
	time.Sleep(2 * contact)
	got := r.version()
	log := []string{}
	if got == 3 {
		log = append(log, "order 3, refused with", fmt.Sprint(second)+",", "is in force")
	} else {
		log = append(log, "version", fmt.Sprint(got), "is in force")
	}
	r.finish(got == 3, "%s", strings.Join(log, " "))
}
