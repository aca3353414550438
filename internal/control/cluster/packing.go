package cluster

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
	// minCompressionSize is the size from which a configuration is packed.
	minCompressionSize = 4 << 10
	// maxDecompressedSize bounds what a packed configuration may hold: what is read is not trusted.
	maxDecompressedSize = MaxMessageBytes
	maxCachedConfigs    = 4
)

// plainDocument is a document without its own way of being written.
type plainDocument Document

// encodedDocument is how a document is written: with its configuration as it is, or packed.
type encodedDocument struct {
	*plainDocument
	Config     []byte `json:"spec"`
	Compressed []byte `json:"spec_gzip,omitempty"`
}

// MarshalJSON writes a document, its configuration packed if it is large.
func (d *Document) MarshalJSON() ([]byte, error) {
	encoded := encodedDocument{plainDocument: (*plainDocument)(d), Config: d.Config}
	if len(d.Config) >= minCompressionSize {
		encoded.Config, encoded.Compressed = nil, configCache.compress(d.Config)
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON reads a document in either form.
func (d *Document) UnmarshalJSON(content []byte) error {
	encoded := encodedDocument{plainDocument: (*plainDocument)(d)}
	if err := json.Unmarshal(content, &encoded); err != nil {
		return err
	}
	d.Config = encoded.Config
	if len(encoded.Compressed) == 0 {
		return nil
	}
	config, err := decompress(encoded.Compressed)
	if err != nil {
		return MalformedMessageError{"a packed configuration can't be unpacked: " + err.Error()}
	}
	d.Config = config
	return nil
}

// compressionCache keeps the newest packed configurations. Its lock is held while one is packed, so that
// nobody packs the same one beside it.
type compressionCache struct {
	lock    sync.Mutex
	entries []compressedConfig
}

// compressedConfig is a configuration and its packed form. A configuration is never changed once it is made, so
// it is known by its place in memory, which is kept.
type compressedConfig struct{ config, compressed []byte }

var configCache compressionCache

func (p *compressionCache) compress(config []byte) []byte {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, known := range p.entries {
		if &known.config[0] == &config[0] && len(known.config) == len(config) {
			return known.compressed
		}
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	// Neither fails: they write to memory.
	_, _ = writer.Write(config)
	_ = writer.Close()
	p.entries = append(p.entries, compressedConfig{config, compressed.Bytes()})
	if len(p.entries) > maxCachedConfigs {
		p.entries = append([]compressedConfig{}, p.entries[1:]...)
	}
	return compressed.Bytes()
}

// decompressedTooLargeError says that a packed configuration holds more than any that a node sends.
type decompressedTooLargeError struct{}

func (decompressedTooLargeError) Error() string {
	return fmt.Sprintf("it holds more than %d bytes", maxDecompressedSize)
}

// decompress gives the configuration that a gzip stream holds. The error is that of the gzip format, or says
// that the configuration is larger than any that a node sends.
func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	config, err := io.ReadAll(io.LimitReader(reader, maxDecompressedSize+1))
	if err == nil && len(config) > maxDecompressedSize {
		err = decompressedTooLargeError{}
	}
	return config, err
}
