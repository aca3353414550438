package cluster

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// A configuration is repetitive text that is sent to many receivers and written to disk. It is compressed once,
// when the document is encoded, and not again for each connection.

const (
	// minCompressionSize is the size in bytes from which a configuration is compressed.
	minCompressionSize = 4 << 10
	// maxDecompressedSize limits the size of a decompressed configuration, since the input is not trusted.
	maxDecompressedSize = MaxMessageBytes
	// maxCachedConfigs is the number of configurations whose compressed form is cached.
	maxCachedConfigs = 4
)

// plainDocument is a Document without the methods MarshalJSON and UnmarshalJSON.
type plainDocument Document

// encodedDocument is the JSON form of a document. The configuration is in Config or, compressed, in Compressed.
type encodedDocument struct {
	*plainDocument
	Config     []byte `json:"spec"`
	Compressed []byte `json:"spec_gzip,omitempty"`
}

// MarshalJSON encodes a document and compresses its configuration if that is large.
func (d *Document) MarshalJSON() ([]byte, error) {
	encoded := encodedDocument{plainDocument: (*plainDocument)(d), Config: d.Config}
	if len(d.Config) >= minCompressionSize {
		encoded.Config, encoded.Compressed = nil, configCache.compress(d.Config)
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON decodes a document whose configuration is compressed or not.
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
		return MalformedMessageError{"compressed configuration can't be decompressed: " + err.Error()}
	}
	d.Config = config
	return nil
}

// compressionCache stores the most recently compressed configurations. Its lock is held during compression, so
// that concurrent callers don't compress the same configuration twice.
type compressionCache struct {
	lock    sync.Mutex
	entries []compressedConfig
}

// compressedConfig is a configuration and its compressed form. A configuration is never changed after it is
// created, so the cache identifies it by its address and length. The entry refers to it, so that the address
// is not reused.
type compressedConfig struct{ config, compressed []byte }

var configCache compressionCache

func (c *compressionCache) compress(config []byte) []byte {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, known := range c.entries {
		if &known.config[0] == &config[0] && len(known.config) == len(config) {
			return known.compressed
		}
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	// Writing to memory can't fail.
	_, _ = writer.Write(config)
	_ = writer.Close()
	c.entries = append(c.entries, compressedConfig{config, compressed.Bytes()})
	if len(c.entries) > maxCachedConfigs {
		c.entries = append([]compressedConfig{}, c.entries[1:]...)
	}
	return compressed.Bytes()
}

// decompressedTooLargeError reports that a configuration is larger than maxDecompressedSize once decompressed.
type decompressedTooLargeError struct{}

func (decompressedTooLargeError) Error() string {
	return fmt.Sprintf("the content exceeds %d bytes", maxDecompressedSize)
}

// decompress returns the content of a gzip stream. It fails if the stream is not valid or if the content
// exceeds maxDecompressedSize.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	config, err := io.ReadAll(io.LimitReader(reader, maxDecompressedSize+1))
	if err == nil && len(config) > maxDecompressedSize {
		err = decompressedTooLargeError{}
	}
	return config, err
}
