package modelcheck

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"dunlinloom/internal/control"
	"dunlinloom/internal/control/cluster"
	"dunlinloom/internal/control/wire"
	"dunlinloom/internal/kernel"
)

// Fingerprints of states. A state is hashed to 64 bits. Among ten million states the probability that any
// two different ones share a hash is below one in 300,000.

// maxAge is the age above which all points in time count as equally old. It exceeds every duration with
// which a core compares ages.
const maxAge = 60 * kernel.Second

// causeTick is recorded as the cause of a save that a timer caused; other saves have a message's digest.
const causeTick = 1

var (
	microsType   = reflect.TypeFor[kernel.Micros]()
	documentType = reflect.TypeFor[*cluster.Document]()
)

// skippedFields are the fields of a core that do not influence its future. Its settings never change, its
// commands are taken at once, and points in time are hashed relative to its clock. Tokens only number the
// saves, which are hashed in order.
var skippedFields = []string{"settings", "out", "now", "nextToken", "Token", "after", "saveError"}

// fieldIndices caches the results of hashedFields, a []int for each reflect.Type. Concurrent searches
// share it.
var fieldIndices sync.Map

// hashedFields returns the indices of a struct's fields that are not skipped.
func hashedFields(of reflect.Type) []int {
	cached, _ := fieldIndices.Load(of)
	if indices, isCached := cached.([]int); isCached {
		return indices
	}
	indices := []int{}
	for i := range of.NumField() {
		if !slices.Contains(skippedFields, of.Field(i).Name) {
			indices = append(indices, i)
		}
	}
	fieldIndices.Store(of, indices)
	return indices
}

// tokenField is the index of the field that numbers a core's saves.
var tokenField = func() []int {
	field, isThere := reflect.TypeFor[control.Core]().FieldByName("nextToken")
	if !isThere {
		panic("modelcheck: a core no longer numbers its saves in nextToken")
	}
	return field.Index
}()

func newestToken(core *control.Core) uint64 {
	return reflect.ValueOf(core).Elem().FieldByIndex(tokenField).Uint()
}

// digester hashes values by reflection, with points in time relative to a clock.
type digester struct {
	documents map[*cluster.Document]uint64
	now       kernel.Micros
	buffer    []byte
}

func (d *digester) number(value uint64) {
	d.buffer = binary.LittleEndian.AppendUint64(d.buffer, value)
}

func (d *digester) text(value string) {
	d.number(uint64(len(value)))
	d.buffer = append(d.buffer, value...)
}

// moment hashes a point in time. Zero means never and gets a value that no point in time has.
func (d *digester) moment(at kernel.Micros) {
	if at == 0 {
		d.number(math.MaxUint64)
		return
	}
	d.number(uint64(max(at-d.now, -maxAge)))
}

// document returns the cached hash of a document. Documents do not change once they are proposed.
func (d *digester) document(document *cluster.Document) uint64 {
	if document == nil {
		return 0
	}
	if known, isThere := d.documents[document]; isThere {
		return known
	}
	inner := digester{documents: d.documents}
	inner.value(reflect.ValueOf(document).Elem())
	sum := inner.sum()
	d.documents[document] = sum
	return sum
}

func (d *digester) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			d.buffer = append(d.buffer, 1)
		} else {
			d.buffer = append(d.buffer, 0)
		}
	case reflect.Int, reflect.Int64:
		if v.Type() == microsType {
			d.moment(kernel.Micros(v.Int()))
			return
		}
		d.number(uint64(v.Int()))
	case reflect.Uint64, reflect.Uint8, reflect.Uint32:
		d.number(v.Uint())
	case reflect.String:
		d.text(v.String())
	case reflect.Pointer:
		d.pointer(v)
	case reflect.Slice:
		d.number(uint64(v.Len()))
		for i := range v.Len() {
			d.value(v.Index(i))
		}
	case reflect.Map:
		d.mapping(v)
	case reflect.Struct:
		for _, i := range hashedFields(v.Type()) {
			d.value(v.Field(i))
		}
	default:
		panic(fmt.Sprintf("modelcheck: cannot fingerprint a value of type %s", v.Type()))
	}
}

func (d *digester) pointer(v reflect.Value) {
	switch {
	case v.IsNil():
		d.number(0)
	case v.Type() == documentType:
		d.number(d.document((*cluster.Document)(v.UnsafePointer())))
	default:
		d.number(1)
		d.value(v.Elem())
	}
}

// mapping hashes a map independently of its order of iteration.
func (d *digester) mapping(v reflect.Value) {
	sum := uint64(0)
	for entry := v.MapRange(); entry.Next(); {
		inner := digester{documents: d.documents, now: d.now}
		inner.value(entry.Key())
		inner.value(entry.Value())
		sum += inner.sum()
	}
	d.number(uint64(v.Len()))
	d.number(sum)
}

// message returns the hash of a message.
func (d *digester) message(m wire.Message) uint64 {
	inner := digester{documents: d.documents}
	inner.value(reflect.ValueOf(m))
	return inner.sum()
}

// digestOf hashes a message with its sender and its receiver.
func (w *World) digestOf(e *envelope) uint64 {
	d := &digester{documents: w.documents}
	d.number(uint64(e.from))
	d.text(e.to)
	d.number(d.message(e.message))
	return d.sum()
}

// processDigest returns the hash of a process. It is computed again only if the process is dirty.
func (w *World) processDigest(p *process) uint64 {
	if p.isDirty {
		d := &digester{documents: w.documents, buffer: make([]byte, 0, 2048)}
		d.process(p)
		p.digest, p.isDirty = d.sum(), false
	}
	return p.digest
}

// process hashes one process with its disk.
func (d *digester) process(p *process) {
	d.now = p.clock
	d.disk(&p.disk)
	d.value(reflect.ValueOf([]bool{p.isUp, p.isFrozen, p.hasLeft, p.pending != nil}))
	d.number(uint64(p.partition))
	if !p.isUp {
		return
	}
	d.value(reflect.ValueOf(p.core).Elem())
	for _, token := range sortedKeys(p.causes) {
		d.number(p.causes[token])
	}
	d.value(reflect.ValueOf(p.lastContact))
	d.value(reflect.ValueOf(p.syncReports))
	d.moment(p.ledSince)
	d.moment(p.quorumAt)
	if p.pending != nil {
		d.moment(p.pendingAt)
	}
}

// disk hashes the content and the faults of a disk. The faults end at time steps; the current time step is
// part of the world's fingerprint.
func (d *digester) disk(of *disk) {
	d.text(string(of.member))
	d.value(reflect.ValueOf(of.hardState))
	d.number(d.document(of.document))
	d.value(reflect.ValueOf(of.documents))
	d.number(d.document(of.previous))
	d.value(reflect.ValueOf(of.previousHardState))
	d.value(reflect.ValueOf(of.damaged))
	d.value(reflect.ValueOf([]int{of.stalledUntil, of.fullUntil, int(of.fullness)}))
}

// Fingerprint hashes everything that determines the possible future steps, and the part of the past to
// which the invariants refer.
func (w *World) Fingerprint() uint64 {
	d := &digester{documents: w.documents, buffer: make([]byte, 0, 1024)}
	for _, p := range w.processes {
		d.number(w.processDigest(p))
		d.number(uint64(p.clock - w.now))
		if p.isUp {
			// The process that started last at an address receives its messages by default.
			d.number(uint64(slices.Index(w.receivers(p.address), p)))
		}
	}
	for _, e := range w.inFlight {
		d.number(e.digest)
	}
	d.number(uint64(len(w.inFlight)))
	for _, e := range w.delayed {
		d.number(e.digest)
	}
	d.number(uint64(w.timeStep))
	w.operators.digest(d)
	d.number(uint64(w.lostDisks))
	d.value(reflect.ValueOf(w.wiped))
	w.observer.digest(d)
	return d.sum()
}

func (d *digester) sum() uint64 { return xxhash.Sum64(d.buffer) }
