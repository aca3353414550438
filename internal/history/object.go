package history

import (
	"errors"
	"fmt"
	"io"
	"io/fs"

	"dunlinloom/internal/kernel"
	"github.com/go-git/go-git/v5/plumbing"
	"github.com/go-git/go-git/v5/plumbing/cache"
	"github.com/go-git/go-git/v5/storage/filesystem"
)

// writeObject writes an object unless it is already stored. A damaged object of the same hash is replaced.
func (archive *Archive) writeObject(kind plumbing.ObjectType, content []byte) (plumbing.Hash, error) {
	encoded := &plumbing.MemoryObject{}
	encoded.SetType(kind)
	if _, err := encoded.Write(content); err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	hash := encoded.Hash()
	if stored, err := archive.readObject(hash); err == nil && string(stored) == string(content) {
		return hash, nil
	}
	if err := archive.files.DeleteLooseObject(hash); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return hash, kernel.DiskError{Op: "remove", Name: hash.String(), Cause: err}
	}
	if _, err := archive.files.SetEncodedObject(encoded); err != nil {
		return hash, kernel.DiskError{Op: "write", Name: hash.String(), Cause: err}
	}
	return hash, nil
}

// readObject reads the content of an object of any type.
func (archive *Archive) readObject(hash plumbing.Hash) ([]byte, error) {
	// The library's cache is bypassed, because the content on disk has to be checked.
	uncached := filesystem.NewStorageWithOptions(archive.files.Filesystem(), cache.NewObjectLRU(0), filesystem.Options{})
	encoded, err := uncached.EncodedObject(plumbing.AnyObject, hash)
	if err != nil {
		return nil, err
	}
	reader, err := encoded.Reader()
	if err != nil {
		return nil, err
	}
	// The error of Close is ignored: no data can be lost, since the reader only reads.
	defer func() { _ = reader.Close() }()
	return io.ReadAll(io.LimitReader(reader, maxObjectBytes+1))
}

// readBlob is like readObject, but its error names the object.
func (archive *Archive) readBlob(hash plumbing.Hash) ([]byte, error) {
	content, err := archive.readObject(hash)
	if err != nil {
		return nil, fmt.Errorf("read object %s: %w", hash, err)
	}
	return content, nil
}

type encoder interface {
	Encode(plumbing.EncodedObject) error
}

// writeEncoded encodes a tree or a commit and writes it.
func (archive *Archive) writeEncoded(source encoder) (plumbing.Hash, error) {
	encoded := &plumbing.MemoryObject{}
	if err := source.Encode(encoded); err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	reader, err := encoded.Reader()
	if err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		return plumbing.ZeroHash, fmt.Errorf("encode an object: %w", err)
	}
	return archive.writeObject(encoded.Type(), content)
}

// setReference writes a reference to a temporary file, which it then renames. The library would write in place,
// and a reference truncated on a full disk would make the whole store unreadable.
func (archive *Archive) setReference(ref plumbing.ReferenceName, hash plumbing.Hash) error {
	disk := archive.files.Filesystem()
	temporary, err := disk.TempFile(disk.Join("objects", "pack"), "tmp_ref_")
	if err != nil {
		return kernel.DiskError{Op: "write", Name: ref.String(), Cause: err}
	}
	_, err = temporary.Write([]byte(hash.String() + "\n"))
	if err = errors.Join(err, temporary.Close()); err == nil {
		err = disk.Rename(temporary.Name(), ref.String())
	}
	if err != nil {
		return kernel.DiskError{Op: "write", Name: ref.String(), Cause: errors.Join(err, disk.Remove(temporary.Name()))}
	}
	return nil
}
