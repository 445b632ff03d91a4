package bounds

import (
	"math"

	"weirhaven/internal/pb"
)

// minimumRate is the least divisor where a rate or a sum of units may be 0.
const minimumRate = 1e-12

// addPlanQuotas adds, for each plan with a quota, the limit of the volume nearest to that quota.
func (a *analysis) addPlanQuotas() {
	for _, plan := range a.Fleet.Plan {
		if plan.Limit <= 0 {
			continue
		}
		if l := a.nearestVolume(plan); l.Subject != "" {
			a.add(l)
		}
	}
}

// nearestVolume returns the limit of the volume nearest to the quota of its plan. The depth of the token bucket, which admits a surge, counts as
// additional rate, spread over the window.
func (a *analysis) nearestVolume(plan *pb.Plan) Limit {
	capacity := plan.Limit + plan.Depth/a.usage.window.Seconds()
	nearest := Limit{Factor: math.Inf(1)}
	for volume, name := range a.usage.volumes {
		if name != plan.Name {
			continue
		}
		peak := a.usage.peak(KindPlanQuota, volume)
		factor := capacity / math.Max(peak.rate, minimumRate)
		if factor < nearest.Factor || factor == nearest.Factor && volume < nearest.Subject {
			nearest = Limit{Kind: KindPlanQuota, Subject: volume, Factor: factor, Used: peak.rate, Capacity: capacity,
				Unit: "units/s of plan " + plan.Name, PeakStart: peak.start}
		}
	}
	return nearest
}

// addReservations compares the work that all reservations guarantee together with the capacity of the fleet.
func (a *analysis) addReservations() {
	guaranteed, subject := a.reserved()
	if guaranteed <= 0 {
		return
	}
	a.add(Limit{Kind: KindReservation, Subject: subject, Factor: a.capacity / guaranteed, Used: guaranteed, Capacity: a.capacity, Unit: "cores promised",
		Condition: "all volumes with a reservation use it at once"})
}

// reserved returns the cores that all reservations guarantee together, at the unit cost of each plan in this load. A plan without requests in
// the load has the mean unit cost. It also names the plan that guarantees most.
func (a *analysis) reserved() (guaranteed float64, subject string) {
	count := a.volumesByPlan()
	meanCost := a.meanUnitCost()
	greatest := 0.0
	for _, plan := range a.Fleet.Plan {
		unitCost := meanCost
		if units := a.usage.planUnits[plan.Name]; units > 0 {
			unitCost = a.usage.planWork[plan.Name] / units
		}
		cores := plan.Reservation * float64(count[plan.Name]) * unitCost
		guaranteed += cores
		if cores > greatest {
			greatest, subject = cores, "plan "+plan.Name+" and others"
		}
	}
	return guaranteed, subject
}

// volumesByPlan returns the number of volumes of each plan: those that the fleet names, and those that only occur in the load.
func (a *analysis) volumesByPlan() map[string]int {
	count := map[string]int{}
	named := map[string]bool{}
	for _, volume := range a.Fleet.Volume {
		count[volume.Plan]++
		named[volume.Name] = true
	}
	for volume, plan := range a.usage.volumes {
		if !named[volume] {
			count[plan]++
		}
	}
	return count
}

// meanUnitCost returns the mean work of a unit over all plans, in core seconds.
func (a *analysis) meanUnitCost() float64 {
	work, units := 0.0, 0.0
	for plan := range a.usage.planUnits {
		work, units = work+a.usage.planWork[plan], units+a.usage.planUnits[plan]
	}
	return work / math.Max(units, minimumRate)
}
