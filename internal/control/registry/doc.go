// Package registry implements a node's directory of engines and nodes: records that are merged by their sequence
// numbers, digests over key ranges for anti-entropy, and updates since a watermark. A Directory has no lock and belongs
// to one goroutine.
package registry
