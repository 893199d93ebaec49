package golden

import (
	"fmt"
	"hash/crc32"
	"reflect"
	"strings"
	"time"
)

// maxDepth limits the depth of nesting, so that filling a type that contains itself ends.
const maxDepth = 8

// Fill sets every exported field of *value, through structs, pointers, slices, arrays and maps, to
// a non-zero value. The value of a field depends only on the path of the keys that lead to the
// field. The keys are taken from the struct tags named tag, so renaming or reordering Go fields
// changes nothing. Each slice and map gets one element, so that its encoding has a single possible
// order.
func Fill(value any, tag string) {
	f := filler{tag: tag}
	f.fill(reflect.ValueOf(value).Elem(), "", 0)
}

// fillFirst is like Fill, but leaves out addedFields.
func fillFirst(value any, tag string) {
	f := filler{tag: tag, omitAdded: true}
	f.fill(reflect.ValueOf(value).Elem(), "", 0)
}

type filler struct {
	tag string
	// omitAdded leaves out addedFields.
	omitAdded bool
}

func (f filler) fill(v reflect.Value, path string, depth int) {
	if depth > maxDepth {
		return
	}
	number := crc32.ChecksumIEEE([]byte(path))%100 + 1
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(path)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), path, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), path, depth)
		}
	case reflect.Slice:
		f.fillSlice(v, path, depth)
	case reflect.Map:
		f.fillMap(v, path, depth)
	case reflect.Struct:
		f.fillStruct(v, path, depth)
	default:
		panic(fmt.Sprintf("%s: cannot fill a value of type %v", path, v.Type()))
	}
}

func (f filler) fillSlice(v reflect.Value, path string, depth int) {
	if v.Type().Name() == "RawMessage" {
		v.SetBytes([]byte("7")) // a complete value in both JSON and MessagePack
		return
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		v.SetBytes([]byte(path))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	f.fill(v.Index(0), path, depth+1)
}

func (f filler) fillMap(v reflect.Value, path string, depth int) {
	key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key, path, depth+1)
	f.fill(element, path, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

func (f filler) fillStruct(v reflect.Value, path string, depth int) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Date(2026, 12, 2, 9, 30, 0, 0, time.UTC)))
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() && !field.Anonymous {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get(f.tag), ",")
		switch {
		case key == "-", f.omitAdded && addedFields[v.Type().String()+"."+key]:
			continue
		case key == "" && field.Anonymous:
			key = path // fields of an embedded struct are encoded among those of the enclosing struct
		case key == "":
			key = path + "." + field.Name
		default:
			key = path + "." + key
		}
		f.fill(v.Field(i), strings.TrimPrefix(key, "."), depth)
	}
}
