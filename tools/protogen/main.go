// Protogen compiles the project's proto files and writes the Go code that
// protoc-gen-go makes of them. It stands in for protoc, so that `go generate`
// needs nothing but the module's own tools.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// usageError says that scribe was called with the wrong words.
type usageError struct{ got int }

func (err usageError) Error() string {
	return fmt.Sprintf("protogen wants PROTO-FILE and OUT-DIR, got %d words", err.got)
}

// pluginError carries what protoc-gen-go complained of.
type pluginError struct{ text string }

func (err pluginError) Error() string { return "protoc-gen-go: " + err.text }

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(words []string) error {
	if len(words) != 2 {
		return usageError{len(words)}
	}
	name, dir := filepath.Base(words[0]), words[1]
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{filepath.Dir(words[0])}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return fmt.Errorf("compile %s: %w", name, err)
	}
	parameter := "paths=source_relative"
	ask := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      &parameter,
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	in, err := proto.Marshal(ask)
	if err != nil {
		return fmt.Errorf("encode the plugin's request: %w", err)
	}
	plugin := exec.Command("go", "tool", "protoc-gen-go")
	plugin.Stdin, plugin.Stderr = bytes.NewReader(in), os.Stderr
	out, err := plugin.Output()
	if err != nil {
		return fmt.Errorf("run protoc-gen-go: %w", err)
	}
	var made pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &made); err != nil {
		return fmt.Errorf("decode the plugin's response: %w", err)
	}
	if made.Error != nil {
		return pluginError{*made.Error}
	}
	for _, file := range made.File {
		if err := os.WriteFile(filepath.Join(dir, file.GetName()), []byte(file.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write %s: %w", file.GetName(), err)
		}
	}
	return nil
}
