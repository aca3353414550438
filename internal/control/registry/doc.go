// Package registry is what a node knows of engines and nodes: records merged by their own sequence numbers, digests over key
// ranges for anti-entropy, and updates since a watermark. A Directory has no lock: one goroutine owns it.
package registry
