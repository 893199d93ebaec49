// Package golden detects changes of encodings. Its tests compare the bytes that the code writes with
// golden files, read these files back, and check that they are re-encoded as the same bytes.
//
// Golden files are in the testdata/golden folder of the package whose test uses them. They are
// written only under the flag -update. A changed golden file means a changed encoding, which
// is incompatible with the processes and the stored data of earlier versions.
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

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Codec is an encoding: its functions, and the struct tag that holds the keys of fields.
type Codec struct {
	Tag       string
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(data []byte, into any) error
}

// The encodings in use. Messages on the wire are MessagePack. Files, and documents for operators,
// backends and clients, are JSON.
var (
	Msgpack = Codec{Tag: "msgpack", Marshal: msgpack.Marshal, Unmarshal: msgpack.Unmarshal}
	JSON    = Codec{Tag: "json", Marshal: marshalIndent, Unmarshal: json.Unmarshal}
)

func marshalIndent(value any) ([]byte, error) {
	b, err := json.MarshalIndent(value, "", "  ")
	return append(b, '\n'), err
}

// folder is the folder of a package's golden files, relative to the package.
var folder = filepath.Join("testdata", "golden")

// Path returns the path of a golden file, relative to the package under test.
func Path(name string) string { return filepath.Join(folder, name) }

// Check compares got with a golden file, or writes the file under -update.
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
		t.Errorf("%s: the encoding differs from the golden file\ngot:  %q\nwant: %q", name, got, want)
	}
}

// Value checks the encoding of one type. A sample with every field set, except for addedFields, must
// be encoded as the bytes of the golden file, and the golden file must be re-encoded as the same bytes
// after it was read. If the type has added fields, the same holds for a sample with all fields and the
// golden file of the second edition. sample is a pointer to the type's zero value.
func Value(t *testing.T, codec Codec, name string, sample any) {
	t.Helper()
	fillFirst(sample, codec.Tag)
	first := checkSample(t, codec, name, sample)
	Fill(sample, codec.Tag)
	if again, err := codec.Marshal(sample); err != nil || !bytes.Equal(again, first) {
		checkSample(t, codec, secondEdition(name), sample)
	}
}

// checkSample checks the encoding of a sample against a golden file, and returns the encoding.
func checkSample(t *testing.T, codec Codec, name string, sample any) []byte {
	t.Helper()
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
		t.Fatalf("%s: decode the golden file: %v", name, err)
	}
	again, err := codec.Marshal(read)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !bytes.Equal(again, stored) {
		t.Errorf("%s: the golden file is re-encoded as other bytes\ngot:  %q\nwant: %q", name, again, stored)
	}
	return encoded
}
