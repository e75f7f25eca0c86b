package hollow

import (
	"reflect"
	"testing"

	"indigochute.example/indigochute/internal/changefeed"
)

// A report adds up every count of its readers. The test fails if a count is added to changefeed.ReaderCounts and not to the sum.
func TestReportAddsEachReaderCount(t *testing.T) {
	var counts, sum changefeed.ReaderCounts
	fields := reflect.ValueOf(&counts).Elem()
	for i := range fields.NumField() {
		fields.Field(i).SetInt(int64(i + 1))
	}
	for range 3 {
		sum = addReaderCounts(sum, counts)
	}
	added := reflect.ValueOf(sum)
	for i := range added.NumField() {
		if got, want := added.Field(i).Int(), int64(3*(i+1)); got != want {
			t.Errorf("%s is %d, want %d", added.Type().Field(i).Name, got, want)
		}
	}
}
