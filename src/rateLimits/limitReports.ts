/**
 * Converts observations of limits to the reports that hosts exchange. A report has ages in place of times, since hosts'
 * clocks differ.
 *
 * @module
 */
import { type LimitReport } from "../generated/gossip.js";
import { type LimitObservation } from "./namedLimits.js";

/** A report may be on its way for this long, so that the request behind it was sent earlier than its age says. */
const MAXIMUM_TRANSIT_MILLISECONDS = 300;

/**
 * Converts an observation to a report.
 *
 * @param observation What an answer showed.
 * @param nowMilliseconds The time at which the report is sent.
 */
export function toLimitReport(observation: LimitObservation, nowMilliseconds: number): LimitReport {
    const { receivedAtMilliseconds, receivedBy, requestsPerSecond, sentAtMilliseconds, upstream } = observation;
    return {
        upstream: upstream.id,
        ...upstream.startedAtMilliseconds === undefined
            ? {}
            : { startedAtMilliseconds: upstream.startedAtMilliseconds },
        ...requestsPerSecond === undefined ? {} : { requestsPerSecond },
        sentAgeMilliseconds: Math.max(0, Math.round(nowMilliseconds - sentAtMilliseconds)),
        receivedAgeMilliseconds: Math.max(0, Math.round(nowMilliseconds - receivedAtMilliseconds)),
        receivedBy,
    };
}

/**
 * Converts a peer's report to an observation.
 *
 * @param report The report.
 * @param nowMilliseconds The time at which it was received.
 */
export function toLimitObservation(report: LimitReport, nowMilliseconds: number): LimitObservation {
    const { receivedAgeMilliseconds, receivedBy, requestsPerSecond, sentAgeMilliseconds } = report;
    return {
        upstream: { id: report.upstream, startedAtMilliseconds: report.startedAtMilliseconds },
        requestsPerSecond,
        sentAtMilliseconds: nowMilliseconds - sentAgeMilliseconds - MAXIMUM_TRANSIT_MILLISECONDS,
        receivedAtMilliseconds: nowMilliseconds - receivedAgeMilliseconds,
        receivedBy,
    };
}
