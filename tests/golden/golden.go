// Package golden holds encodings fixed: tests compare what the code writes today with files
// that were written before, read these files back, and check that the same bytes come out.
//
// A golden file stands in the testdata/golden folder of the package whose test names it. It
// is only ever written under the flag -update, and a changed golden file is a changed
// encoding: processes and disks of earlier versions no longer understand it.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

var update = flag.Bool("update", false, "write the golden files in place of comparing with them")

// Codec is an encoding: how values are written and read, and the struct tag that names the
// keys of their fields.
type Codec struct {
	Tag       string
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(data []byte, into any) error
}

// The encodings in use: messages on the wire are MessagePack; files, and documents for
// operators, backends and clients, are JSON.
var (
	Msgpack = Codec{Tag: "msgpack", Marshal: msgpack.Marshal, Unmarshal: msgpack.Unmarshal}
	JSON    = Codec{Tag: "json", Marshal: marshalIndent, Unmarshal: json.Unmarshal}
)

func marshalIndent(value any) ([]byte, error) {
	b, err := json.MarshalIndent(value, "", "  ")
	return append(b, '\n'), err
}

// folder is where a package's golden files are.
var folder = filepath.Join("testdata", "golden")

// Path is the path of a golden file, for tests that run in its package.
func Path(name string) string { return filepath.Join(folder, name) }

// Check compares bytes with a golden file, or writes the file under -update.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := Path(name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o640); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the bytes are not those of the golden file\ngot:  %q\nwant: %q", name, got, want)
	}
}

// Value checks one type: a sample of it that has every field set is encoded as the golden
// file says, and the golden file, read and encoded again, is the same bytes. sample is
// a pointer to the type's zero value.
func Value(t *testing.T, codec Codec, name string, sample any) {
	t.Helper()
	Fill(sample, codec.Tag)
	encoded, err := codec.Marshal(sample)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Check(t, name, encoded)
	stored, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	read := reflect.New(reflect.TypeOf(sample).Elem()).Interface()
	if err := codec.Unmarshal(stored, read); err != nil {
		t.Fatalf("%s: reading the golden file: %v", name, err)
	}
	again, err := codec.Marshal(read)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !bytes.Equal(again, stored) {
		t.Errorf("%s: read and written again, the golden file is other bytes:\n%q\nnot\n%q", name, again, stored)
	}
}
