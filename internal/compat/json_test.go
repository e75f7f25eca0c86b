package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/scaling"
	"indigochute.example/indigochute/internal/testing/scenario"
)

// filler sets numbers and texts of a value to different values, in the order of the fields. It sets all booleans to true.
type filler struct{ count int }

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(key)
			f.fill(value)
			v.SetMapIndex(key, value)
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.next()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	default:
		panic("unsupported field of kind " + v.Kind().String())
	}
}

func (f *filler) next() int {
	f.count++
	return f.count
}

// TestOutputJSON checks the JSON of each type that a command prints or that an instance sends as a response, once with all fields set and
// once with none.
func TestOutputJSON(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
	}{
		{"status", &cluster.Status{}},
		{"status_all", &cluster.ClusterStatus{}},
		{"status_director", &cluster.FollowerStatus{}},
		{"plan_answer", &capacity.Answer{}},
		{"scenario", &scenario.Report{}},
		{"scaling", &scaling.Growth{}},
		{"hollow_line", &hollow.ReadyLine{}},
		{"hollow_talk", &hollow.PeerTraffic{}},
		{"hollow_comparison", &hollow.Comparison{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			empty := encodeJSON(t, c.value)
			(&filler{}).fill(reflect.ValueOf(c.value).Elem())
			golden(t, "json_"+c.name+".json", encodeJSON(t, c.value))
			golden(t, "json_"+c.name+"_empty.json", empty)
			parsed := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := json.Unmarshal(readGolden(t, "json_"+c.name+".json"), parsed); err != nil {
				t.Fatal(err)
			}
			if reencoded := encodeJSON(t, parsed); !bytes.Equal(reencoded, readGolden(t, "json_"+c.name+".json")) {
				t.Errorf("read and encoded again: %s", firstDifference(reencoded, readGolden(t, "json_"+c.name+".json")))
			}
		})
	}
}

func encodeJSON(t *testing.T, v any) []byte {
	t.Helper()
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}
