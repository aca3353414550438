// Protogen compiles a proto file and writes the Go code that protoc-gen-go generates from it. It replaces protoc, so
// that `go generate` needs only tools of the module.
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

// usageError reports a wrong number of arguments.
type usageError struct{ got int }

func (err usageError) Error() string {
	return fmt.Sprintf("usage: protogen PROTO-FILE OUT-DIR; got %d arguments", err.got)
}

// pluginError is an error in the response of protoc-gen-go.
type pluginError struct{ text string }

func (err pluginError) Error() string { return "protoc-gen-go: " + err.text }

func main() {
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run generates the Go code of a proto file into a folder. The arguments are the paths of both.
func run(ctx context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return usageError{len(arguments)}
	}
	protoFile, folder := arguments[0], arguments[1]
	request, err := compile(ctx, protoFile)
	if err != nil {
		return err
	}
	response, err := generate(ctx, request)
	if err != nil {
		return err
	}
	return writeFiles(folder, response)
}

// compile compiles a proto file and returns the request to the plugin for its code.
func compile(ctx context.Context, protoFile string) (*pluginpb.CodeGeneratorRequest, error) {
	name := filepath.Base(protoFile)
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{filepath.Dir(protoFile)}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("compile %s: %w", name, err)
	}
	return &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}, nil
}

// generate runs protoc-gen-go and returns its response. It returns a pluginError if the plugin reports an error.
func generate(ctx context.Context, request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode the plugin's request: %w", err)
	}
	plugin := exec.CommandContext(ctx, "go", "tool", "protoc-gen-go")
	plugin.Stdin, plugin.Stderr = bytes.NewReader(input), os.Stderr
	output, err := plugin.Output()
	if err != nil {
		return nil, fmt.Errorf("run protoc-gen-go: %w", err)
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return nil, fmt.Errorf("decode the plugin's response: %w", err)
	}
	if response.Error != nil {
		return nil, pluginError{response.GetError()}
	}
	return response, nil
}

// writeFiles writes the generated files into a folder.
func writeFiles(folder string, response *pluginpb.CodeGeneratorResponse) error {
	for _, file := range response.File {
		if err := os.WriteFile(filepath.Join(folder, file.GetName()), []byte(file.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write %s: %w", file.GetName(), err)
		}
	}
	return nil
}
