package simulatorwire

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
)

const profile = `{"balancers":2,"ordinal":0,"zone":"hall","discovery":"push","resolution_us":2000,
"limits":{"cancel":true,"may_probe":false,"peers":false,"max_attempts":3,"second_copies":false,"retry_after":true,"max_retry_after_us":1000000},
"contract":{"answer_slack_us":8000,"ask_within_us":1000000,"drain_grace_us":250000,"cold_from":0.2,"cold_us":10000000,"fall_multiple":2,"overload_for_us":1000000},
"family_info":{"usual_units":2,"units_top":8,"cold_units":10,"tells_elsewhere":true,"changes_data":[false]},
"classes":[{"name":"read","aim_us":200000,"give_up_us":1000000,"semantics":"repeatable","worth":1,"late_value":0.1}],
"plans":[{"name":"plain","nominal":10,"guaranteed":0,"never_over":0,"parts":1,"worth_factor":1}]}`

func batch(ts int, events string) string {
	one := fmt.Sprintf(`{"ts_us":%d,"parts":[{"host_id":1,"news":[%s]}]}`, ts, events)
	return strings.ReplaceAll(one, "\n", "") + "\n"
}

var exchange = `{"ts_us":1000,"parts":[]}` + "\n" +
	batch(2000, `{"kind":"enlist","seed":7,"profile_data":`+profile+`},
		{"kind":"sheet","buffer":0,"lines":[{"brick":"a","region_part":"hall","group":0,"status":"SERVING","share":1},
		{"brick":"b","region_part":"hall","group":1,"status":"SERVING","share":1}]},
		{"kind":"view","form":"SAVED","buffer":0,"index":1}`) +
	batch(2600, `{"kind":"sheet","buffer":0,"lines":[{"brick":"b","region_part":"hall","group":1,"status":"SERVING","share":1,"boot_time_us":2100}]},
		{"kind":"view","form":"INCREMENTAL","buffer":0,"index":2}`) +
	batch(3000, `{"kind":"knock","rid":11,"cls":"read","group_no":0,"grade":"plain","n_hosts":2,"weight":2,"give_up_at_us":1003000,"owner":"v","object":"o"}`) +
	batch(4000, `{"kind":"reply","rid":11,"brick":"a","n":0,"cost_time_us":1000,"ending":"F"}`) +
	batch(30000, `{"kind":"knock","rid":12,"cls":"read","group_no":1,"grade":"plain","n_hosts":2,"weight":2,"give_up_at_us":1030000,"owner":"v","object":"p"}`) +
	batch(40000, `{"kind":"reply","rid":12,"brick":"b","n":0,"last":true,"cost_time_us":10000,"ending":"S","elsewhere":3}`) +
	batch(52000, `{"kind":"timeout_fired","cookie":"2"}`) +
	batch(60000, `{"kind":"sheet","buffer":0,"lines":[{"brick":"a","region_part":"hall","group":0,"status":"DRAINING","share":1}]},
		{"kind":"view","form":"INCREMENTAL","buffer":0,"index":3},{"kind":"client_gone","rid":11}`) +
	batch(70000, `{"kind":"crash_now"},{"kind":"enlist","seed":8,"profile_data":`+profile+`}`)

// A short exchange with its recorded output: the wire protocol must not change.
func Example() {
	if err := Serve(strings.NewReader(exchange), os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// {"parts":[]}
	// {"parts":[{"host_id":1,"do":[{"kind":"remind","after_us":1000000,"cookie":"1"},{"kind":"remind","after_us":12500,"cookie":"2"}]}]}
	// {"parts":[{"host_id":1,"do":[{"kind":"debug","line":"endpoint b: slow start, started 500µs ago, warm within 10s"}]}]}
	// {"parts":[{"host_id":1,"do":[{"kind":"remind","after_us":196000,"cookie":"3"},{"kind":"remind","after_us":996000,"cookie":"4"},{"kind":"relay","rid":11,"brick":"a","give_up_after_us":0}]}]}
	// {"parts":[{"host_id":1,"do":[{"kind":"debug","line":"endpoint a: first failure: rejected after 1ms, 0 in flight"}]}]}
	// {"parts":[{"host_id":1,"do":[{"kind":"remind","after_us":196000,"cookie":"5"},{"kind":"remind","after_us":996000,"cookie":"6"},{"kind":"relay","rid":12,"brick":"b","give_up_after_us":0}]}]}
	// {"parts":[]}
	// {"parts":[{"host_id":1,"do":[{"kind":"remind","after_us":12500,"cookie":"7"}]}]}
	// {"parts":[{"host_id":1,"do":[{"kind":"debug","line":"endpoint a: draining, 0 in flight"}]}]}
	// {"parts":[{"host_id":1,"do":[{"kind":"remind","after_us":1000000,"cookie":"1"},{"kind":"remind","after_us":12500,"cookie":"2"}]}]}
}

// Input from an incompatible simulator must be rejected with an error that names the position, not processed on a guess.
func TestBadInput(t *testing.T) {
	start := batch(2000, `{"kind":"enlist","seed":7,"profile_data":`+profile+`}`)
	for in, want := range map[string]string{
		"nonsense\n":                         "batch 1 is not JSON",
		"[]\n":                               "batch 1: not an object",
		`{"ts_us":1}` + "\n":                 "no parts",
		`{"parts":[]}` + "\n":                "no ts_us",
		batch(1, `{"kind":"knock"}`):         "knock before enlist",
		batch(1, `{"seed":1}`):               "no kind",
		start + batch(1, `{"kind":"dance"}`): "batch 2: gateway 1, event 0: dance: unknown event",
		start + batch(1, `{"kind":"view","form":"FULL","buffer":3}`):           "unknown list number 3",
		start + batch(1, `{"kind":"timeout_fired","cookie":"x"}`):              `unknown timer "x"`,
		start + batch(1, `{"kind":"reply","rid":1,"n":0,"brick":"a"}`):         `unknown endpoint "a"`,
		start + batch(1, `{"kind":"from_peer","sender":1,"data":"!"}`):         "not base64",
		strings.Replace(start, `"repeatable"`, `"sometimes"`, 1):               "unknown semantics",
		start + batch(1, `{"kind":"knock","rid":1,"cls":"read","group_no":0}`): "no give_up_at_us",
	} {
		if err := Serve(strings.NewReader(in), io.Discard); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, wanted %q", in, err, want)
		}
	}
}

// Any input, valid or not, must give the same output each time and must not cause a panic.
func FuzzServe(f *testing.F) {
	f.Add([]byte(exchange))
	for _, l := range strings.SplitAfter(exchange, "\n") {
		f.Add([]byte(l))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var first, second bytes.Buffer
		err1, err2 := Serve(bytes.NewReader(in), &first), Serve(bytes.NewReader(in), &second)
		if fmt.Sprint(err1) != fmt.Sprint(err2) || first.String() != second.String() {
			t.Fatalf("the same input gave two different outputs:\n%s %v\n%s %v", first.String(), err1, second.String(), err2)
		}
	})
}
