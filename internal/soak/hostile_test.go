package soak

import (
	"testing"
	"time"
)

// smallDeployment has the least memory that the platform's pages name, beside 1,024 descriptors and a quarter of a core.
var smallDeployment = Deployment{MemoryMB: 32, Sockets: 1024, RequestTimeout: time.Second, Cores: 0.25}

// testHostile runs one kind of hostile clients against two processes of a deployment. No invariant may be broken.
func testHostile(t *testing.T, limits Deployment, fault string) {
	t.Helper()
	report := runSoak(t, Options{Seed: 6, Processes: 2, Length: 10 * time.Second, Rate: 30, Faults: []string{fault}, Limits: &limits}, "")
	for _, v := range report.Violations {
		t.Error(v)
	}
	t.Logf("%v; %d completed; peak memory %d KiB", report, report.Completed, report.PeakMemory)
	if report.Completed < report.Requests/4 {
		t.Errorf("%d of %d requests completed", report.Completed, report.Requests)
	}
}

func TestStoppedWritesKeepMemoryLimit(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-writes-stopped")
}

func TestSlowWritesKeepMemoryLimit(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-writes-slow")
}

func TestStoppedFieldsKeepMemoryLimit(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-fields-stopped")
}

func TestManyFieldsDelayNobody(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-fields-whole")
}

func TestHeldPipelinesDelayNobody(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-pipelines-held")
}

func TestUnreadAnswersDelayNobody(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-answers-unread")
}

func TestUnsoundRequestsDelayNobody(t *testing.T) {
	testHostile(t, smallDeployment, "hostile-many-unsound")
}
