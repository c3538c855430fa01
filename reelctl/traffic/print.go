package traffic

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"shallotreel.example/reelctl/client"
	"shallotreel.example/reelctl/table"
)

const (
	maxNames   = 10                         // of instances that a table shows in one line
	timeFormat = "2006-01-02T15:04:05.000Z" // of times in UTC
	none       = "-"
)

// Print writes the report as tables.
func (report Evacuations) Print(writer io.Writer) error {
	table := table.New(writer)
	fmt.Fprintln(table, "EVACUATED\tSINCE\tRETAINED UNTIL\tIN FORCE AT\tIN FLIGHT\tNOT IN FORCE AT")
	for _, evacuation := range report.Evacuations {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d\t%d\t%s\n", evacuation.DataCentre, formatTime(evacuation.Since),
			formatTime(evacuation.RetainedUntil), evacuation.InForce, report.Instances, evacuation.InFlight,
			joinNames(evacuation.NotInForceAt))
	}
	fmt.Fprintln(table, "\nCOLD TARGET\tSERVICE\tDATA CENTRE\tCOLD UNTIL\tRATE\tPARTS\tINSTANCES\tEVIDENCE")
	for _, target := range report.ColdTargets {
		rate, parts := none, none
		if target.Rate > 0 {
			rate, parts = formatNumber(target.Rate), formatNumber(target.Parts)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", target.Target, target.Service, target.DataCentre,
			formatTime(target.ColdUntil), rate, parts, target.Instances, strings.Join(target.Evidence, "; "))
	}
	printUnreachable(table, report.Unreachable)
	return table.Flush()
}

// Print writes the report as tables, and below them for each group what would end its refusals.
func (load Load) Print(writer io.Writer) error {
	table := table.New(writer)
	fmt.Fprintf(table, "Admitted and refused requests %s.\n", load.Unit)
	fmt.Fprintln(table, "GROUP\tRANK\tADMITTED\tREFUSED\tREASONS\tREFUSED IN\tIN FLIGHT\tWAITING\tLIMIT\tEVIDENCE\tAGE")
	for _, group := range load.Groups {
		for _, rank := range group.Ranks {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", group.Name, rank.Rank, formatNumber(rank.Admitted),
				formatNumber(rank.Refused), rank.reasons(), cmp.Or(strings.Join(rank.DataCentres, ","), none), rank.InFlight,
				rank.Waiting, group.limit(), group.evidence(), group.age())
		}
	}
	printUnreachable(table, load.Unreachable)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, group := range load.Groups {
		if _, err := fmt.Fprintf(writer, "\n%s: %s\n", group.Name, group.EndsWhen); err != nil {
			return err
		}
	}
	return nil
}

func printUnreachable(writer io.Writer, unreachable []client.Unreachable) {
	if len(unreachable) == 0 {
		return
	}
	fmt.Fprintln(writer, "\nDID NOT ANSWER\tADDRESS\tSTATE")
	for _, instance := range unreachable {
		fmt.Fprintf(writer, "%s\t%s\t%s\n", instance.Instance, instance.Address, instance.State)
	}
}

// reasons returns the reasons of the refusals, in order, each with its number.
func (rank Rank) reasons() string {
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(rank.Reasons)) {
		reasons = append(reasons, reason+" "+formatNumber(rank.Reasons[reason]))
	}
	return cmp.Or(strings.Join(reasons, ", "), none)
}

// limit returns the limit of the group, and the number of instances that limit it.
func (group Group) limit() string {
	if group.Limiting == 0 {
		return none
	}
	return fmt.Sprintf("%d at %d", group.Limit, group.Limiting)
}

// evidence returns the newest evidence and the instance that has it.
func (group Group) evidence() string {
	if group.Evidence == "" {
		return none
	}
	return group.Evidence + " at " + group.EvidenceAt
}

// age returns the age of the newest evidence.
func (group Group) age() string {
	if group.Evidence == "" {
		return none
	}
	return group.EvidenceAge.Std().Round(time.Millisecond).String()
}

// joinNames joins the first names, and states how many others there are.
func joinNames(names []string) string {
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d others", strings.Join(names[:maxNames], ","), len(names)-maxNames)
	}
	return cmp.Or(strings.Join(names, ","), none)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return none
	}
	return at.UTC().Format(timeFormat)
}

// formatNumber formats the number with at most one decimal place.
func formatNumber(number float64) string {
	return strings.TrimSuffix(strconv.FormatFloat(number, 'f', 1, 64), ".0")
}
