package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// A configuration is text that repeats itself, and goes to many receivers and to the disk. It is
// packed once, in the document, and not by each connection anew.

const (
	// packFrom is the size from which a configuration is packed.
	packFrom = 4 << 10
	// mostUnpacked bounds what a packed configuration may hold: what is read is not trusted.
	mostUnpacked = mostMessage
	keptPacks    = 4
)

// plainDocument is a document without its own way of being written.
type plainDocument Document

// writtenDocument is how a document is written: with its configuration as it is, or packed.
type writtenDocument struct {
	*plainDocument
	Config []byte `json:"spec"`
	Packed []byte `json:"spec_gzip,omitempty"`
}

// MarshalJSON writes a document, its configuration packed if it is large.
func (d *Document) MarshalJSON() ([]byte, error) {
	written := writtenDocument{plainDocument: (*plainDocument)(d), Config: d.Config}
	if len(d.Config) >= packFrom {
		written.Config, written.Packed = nil, packs.pack(d.Config)
	}
	return json.Marshal(written)
}

// UnmarshalJSON reads a document in either form.
func (d *Document) UnmarshalJSON(content []byte) error {
	written := writtenDocument{plainDocument: (*plainDocument)(d)}
	if err := json.Unmarshal(content, &written); err != nil {
		return err
	}
	d.Config = written.Config
	if len(written.Packed) == 0 {
		return nil
	}
	config, err := unpack(written.Packed)
	if err != nil {
		return MalformedMessage{"a packed configuration can't be unpacked: " + err.Error()}
	}
	d.Config = config
	return nil
}

// packer keeps the newest packed configurations. Its lock is held while one is packed, so that
// nobody packs the same one beside it.
type packer struct {
	lock sync.Mutex
	kept []packed
}

// packed is a configuration and its packed form. A configuration is never changed once it is made, so
// it is known by its place in memory, which is kept.
type packed struct{ config, packed []byte }

var packs packer

func (p *packer) pack(config []byte) []byte {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, known := range p.kept {
		if &known.config[0] == &config[0] && len(known.config) == len(config) {
			return known.packed
		}
	}
	var made bytes.Buffer
	writer := gzip.NewWriter(&made)
	// Neither fails: they write to memory.
	_, _ = writer.Write(config)
	_ = writer.Close()
	p.kept = append(p.kept, packed{config, made.Bytes()})
	if len(p.kept) > keptPacks {
		p.kept = append([]packed{}, p.kept[1:]...)
	}
	return made.Bytes()
}

// tooLargePacked says that a packed configuration holds more than any that a node sends.
type tooLargePacked struct{}

func (tooLargePacked) Error() string {
	return fmt.Sprintf("it holds more than %d bytes", mostUnpacked)
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	config, err := io.ReadAll(io.LimitReader(reader, mostUnpacked+1))
	if err == nil && len(config) > mostUnpacked {
		err = tooLargePacked{}
	}
	return config, err
}
