/**
 * Estimates how long upstreams take for work, relative to the other upstreams of their service.
 *
 * @module
 */

/** Time after which a reported figure says half as much, since neighbours slow a machine for about 600 ms at a time. */
const REPORT_HALF_LIFE_MILLISECONDS = 400;

/** Weight of a new report in the mean of an upstream's reports. */
const REPORT_WEIGHT = 0.02;

/** Reports of 1 that the mean starts from, so that the first ones do not count as usual. */
const PRIOR_REPORTS = 4;

/** Weight of a new pace in the means of an upstream and of its service. */
const UPSTREAM_PACE_WEIGHT = 0.02;
const SERVICE_PACE_WEIGHT = 0.005;

/** Paces as usual that an upstream's own ones are weighed against; few of its own leave it near 1. */
const PRIOR_PACES = 2;

/** Bounds on one report and on one pace relative to the service's mean, so that a false one has little effect. */
const MINIMUM_FACTOR = 0.2;
const MAXIMUM_FACTOR = 5;

/** Bounds on the slowdown. */
const MINIMUM_SLOWDOWN = 0.4;
const MAXIMUM_SLOWDOWN = 4;

interface Speed {
    /** False where the last answer held no figure. */
    isReporting: boolean;
    /** The last report, relative to 1 as usual. */
    reported: number;
    reportedAtMilliseconds: number;
    meanReported: number;
    reports: number;
    /** Mean logarithm of the upstream's paces relative to those of its service. */
    logarithmicPace: number;
    paces: number;
    /** The slowdown at the time of the last question, which is asked several times for each request. */
    slowdown: number;
    slowdownAtMilliseconds: number;
}

/** The figure in an upstream's answer. */
export interface SpeedReport {
    readonly upstream: string;
    readonly service: string;
    /** How long work takes on its machine now, 1 as usual; `undefined` where the answer holds no figure. */
    readonly slowdown: number | undefined;
}

interface ServicePace {
    logarithm: number;
    paces: number;
}

/** How long an upstream took for a unit of work. */
export interface ObservedPace {
    /** Names what is comparable: the service, and the kind of answer. */
    readonly measure: string;
    readonly millisecondsPerUnit: number;
}

/** What is known of an upstream's speed; all factors are above 1 for a slow upstream. */
export interface SpeedDescription {
    readonly slowdown: number;
    /** The usual slowdown, relative to the service's other upstreams. */
    readonly usualSlowdown: number;
    /** Share of the usual slowdown that is assumed rather than measured; from 1 without measurements towards 0. */
    readonly doubt: number;
    readonly reportAgeMilliseconds: number;
}

function clamp(value: number, minimum: number, maximum: number): number {
    return Math.min(maximum, Math.max(minimum, value));
}

/**
 * Combines the figures that upstreams report, which change within hundreds of milliseconds, with their usual speeds,
 * which nothing reports. A figure counts relative to the mean of the upstream's figures, so one that is always false has
 * no effect. An upstream that reports no figure has the slowdown 1.
 *
 * @example
 * ```ts
 * const speeds = new EngineSpeeds();
 * speeds.recordReport({ upstream: "engine-3", service: "chat", slowdown: 2.5 }, now);
 * speeds.recordPace("engine-3", { measure: "chat stream", millisecondsPerUnit: 61 });
 * speeds.slowdown("engine-3", now); // 2.1
 * ```
 */
export class EngineSpeeds {
    readonly #speeds = new Map<string, Speed>();
    readonly #services = new Map<string, ServicePace>();
    readonly #reportingServices = new Set<string>();

    /** Records the figure in an answer, or that it holds none: the slowdown is then 1. */
    recordReport({ service, slowdown: reported, upstream }: SpeedReport, nowMilliseconds: number): void {
        const isFigure = reported !== undefined && Number.isFinite(reported) && reported > 0;
        if (!isFigure && !this.#reportingServices.has(service)) {
            return;
        }
        this.#reportingServices.add(service);
        const speed = this.#speeds.get(upstream) ?? this.#add(upstream);
        speed.isReporting = isFigure;
        if (!isFigure) {
            return;
        }
        const factor = clamp(reported, MINIMUM_FACTOR, MAXIMUM_FACTOR);
        speed.reports += 1;
        const weight = Math.max(REPORT_WEIGHT, 1 / (PRIOR_REPORTS + speed.reports));
        speed.meanReported += weight * (factor - speed.meanReported);
        speed.reported = factor;
        speed.reportedAtMilliseconds = nowMilliseconds;
        speed.slowdownAtMilliseconds = Number.NaN;
    }

    /** Records how long an upstream took for its work; without effect for one that reports no figure. */
    recordPace(upstream: string, { measure, millisecondsPerUnit }: ObservedPace): void {
        const speed = this.#speeds.get(upstream);
        if (speed?.isReporting !== true || !Number.isFinite(millisecondsPerUnit) || millisecondsPerUnit <= 0) {
            return;
        }
        const logarithm = Math.log(millisecondsPerUnit);
        const service = this.#services.get(measure) ?? { logarithm, paces: 0 };
        this.#services.set(measure, service);
        service.paces += 1;
        service.logarithm += Math.max(SERVICE_PACE_WEIGHT, 1 / service.paces) * (logarithm - service.logarithm);
        const relative = clamp(
            logarithm - service.logarithm,
            Math.log(MINIMUM_FACTOR),
            Math.log(MAXIMUM_FACTOR),
        );
        speed.paces += 1;
        speed.logarithmicPace += Math.max(UPSTREAM_PACE_WEIGHT, 1 / speed.paces) * (relative - speed.logarithmicPace);
        speed.slowdownAtMilliseconds = Number.NaN;
    }

    /** Returns whether upstreams of a service have reported figures. */
    isReportingService(service: string): boolean {
        return this.#reportingServices.has(service);
    }

    /**
     * Returns whether the upstream's last answer held a figure. One that this host has not heard yet is taken for one
     * that reports, if others of its service do: otherwise all hosts would prefer those that they have not heard.
     */
    isReporting(upstream: string, service: string): boolean {
        return this.#speeds.get(upstream)?.isReporting ?? this.#reportingServices.has(service);
    }

    /** Returns how long work takes at the upstream now, relative to its service's usual; 1 where it reports no figure. */
    slowdown(upstream: string, nowMilliseconds: number): number {
        const speed = this.#speeds.get(upstream);
        if (speed?.isReporting !== true) {
            return 1;
        }
        if (speed.slowdownAtMilliseconds !== nowMilliseconds) {
            const age = Math.max(0, nowMilliseconds - speed.reportedAtMilliseconds);
            const recent = (speed.reported / speed.meanReported - 1) * 0.5 ** (age / REPORT_HALF_LIFE_MILLISECONDS);
            speed.slowdown = clamp(usualSlowdown(speed) * (1 + recent), MINIMUM_SLOWDOWN, MAXIMUM_SLOWDOWN);
            speed.slowdownAtMilliseconds = nowMilliseconds;
        }
        return speed.slowdown;
    }

    /** Describes an upstream's speed; `undefined` where it reports no figure. */
    describe(upstream: string, nowMilliseconds: number): SpeedDescription | undefined {
        const speed = this.#speeds.get(upstream);
        return speed?.isReporting !== true ? undefined : {
            slowdown: this.slowdown(upstream, nowMilliseconds),
            usualSlowdown: usualSlowdown(speed),
            doubt: doubtOf(speed),
            reportAgeMilliseconds: nowMilliseconds - speed.reportedAtMilliseconds,
        };
    }

    forget(upstream: string): void {
        this.#speeds.delete(upstream);
    }

    #add(upstream: string): Speed {
        const speed = {
            isReporting: true,
            reported: 1,
            reportedAtMilliseconds: 0,
            meanReported: 1,
            reports: 0,
            logarithmicPace: 0,
            paces: 0,
            slowdown: 1,
            slowdownAtMilliseconds: Number.NaN,
        };
        this.#speeds.set(upstream, speed);
        return speed;
    }
}

function doubtOf({ paces }: Speed): number {
    return PRIOR_PACES / (PRIOR_PACES + paces);
}

function usualSlowdown(speed: Speed): number {
    return Math.exp(speed.logarithmicPace * (1 - doubtOf(speed)));
}
