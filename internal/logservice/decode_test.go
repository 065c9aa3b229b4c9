package logservice_test

import (
	"errors"
	"testing"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// FuzzDecodeBatch guards against answers that cause a panic, and against accepted batches
// whose records have gaps, have no IDs or are out of order.
func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"first":1,"end":2,"records":[{"offset":1,"id":"a","data":"eA=="},{"offset":2,"id":"b","data":null}]}`), uint64(0))
	f.Add([]byte(`{"first":5,"end":9,"records":[{"offset":5,"id":"a","data":""}]}`), uint64(2))
	f.Add([]byte(`{"first":1,"end":0,"records":null}`), uint64(0))
	f.Add([]byte(`{"first":1,"end":3,"records":[{"offset":3,"id":"a"}]}`), uint64(0))
	f.Add([]byte(`{"end":18446744073709551615,"records":[{"offset":0,"id":"a"}]}`), uint64(18446744073709551615))
	f.Add([]byte(`[]`), uint64(0))
	f.Fuzz(func(t *testing.T, answer []byte, after uint64) {
		batch, err := logservice.DecodeBatch(answer, structs.Offset(after))
		switch {
		case err == nil:
			next := structs.Offset(after)
			for _, record := range batch.Records {
				next++
				if record.Offset != next || record.ID == "" {
					t.Fatalf("accepted record %+v at offset %d", record, next)
				}
			}
			if batch.End < next || (len(batch.Records) == 0 && batch.End != next) {
				t.Fatalf("accepted end %d after offset %d", batch.End, next)
			}
		case errors.Is(err, logservice.ErrTrimmed):
			if batch.First <= structs.Offset(after)+1 || len(batch.Records) > 0 {
				t.Fatalf("trimmed batch %+v after %d", batch, after)
			}
		case !errors.Is(err, logservice.ErrMalformed):
			t.Fatalf("unexpected error %v", err)
		}
	})
}
