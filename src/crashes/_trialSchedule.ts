/**
 * Decides until when requests are held back whose attributes may crash upstreams.
 *
 * @module
 */
import { isPart } from "./_attributes.js";
import { type ConvictionDecision } from "./_convictionDecision.js";
import { type KnownConviction } from "./_convictions.js";
import { type CrashLog, type Run } from "./_crashLog.js";
import { blamedRuns, countSeparate, SEPARATION_MILLISECONDS } from "./_judgement.js";
import { type Proofs } from "./_proofs.js";
import { trialDelayMilliseconds, type Trials } from "./_trials.js";
import { type TrialClaim } from "./types.js";

/** After a loss that is not known to be a crash, the next trial waits this long for that news. */
const CRASH_NEWS_MILLISECONDS = 1_500;

/** What the schedule of trials depends on. */
export interface TrialScheduleOptions {
    /** The host's name, by which hosts that wait for the same trial take turns. */
    readonly host: string;
    readonly log: CrashLog;
    readonly proofs: Proofs;
    readonly trials: Trials;
    readonly decision: ConvictionDecision;
}

/** Has one request at a time tried of those that have a suspected attribute, over all hosts. */
export class TrialSchedule {
    readonly #host: string;
    readonly #log: CrashLog;
    readonly #proofs: Proofs;
    readonly #trials: Trials;
    readonly #decision: ConvictionDecision;

    constructor({ decision, host, log, proofs, trials }: TrialScheduleOptions) {
        this.#host = host;
        this.#log = log;
        this.#proofs = proofs;
        this.#trials = trials;
        this.#decision = decision;
    }

    /** Returns whether an attribute may have crashed an upstream. */
    isSuspected(attribute: string): boolean {
        return !this.#log.isUnsuspected(attribute) && blamedRuns(attribute, this.#decision.knowledge()).length > 0;
    }

    /** Returns this host's claims to try suspected attributes. */
    ownClaims(): TrialClaim[] {
        return this.#trials.ownClaims(attribute => isPart(attribute) && this.isSuspected(attribute));
    }

    /** Returns until when an attribute's requests are held back; a past time where they are not. */
    doubtedUntilMilliseconds(
        attribute: string,
        conviction: KnownConviction | undefined,
        nowMilliseconds: number,
    ): number {
        const isOnProbation = conviction?.attributes.includes(attribute) === true;
        if (this.#log.isUnsuspected(attribute) && !isOnProbation) {
            return nowMilliseconds;
        }
        const runs = blamedRuns(attribute, this.#decision.knowledge());
        const wasAnswered = this.#proofs.lastAnswerMilliseconds(attribute) !== undefined;
        if (!isOnProbation && (runs.length === 0 || wasAnswered && countSeparate(runs) < 2)) {
            return nowMilliseconds;
        }
        const tried = this.#trials.triedUntilMilliseconds(attribute, nowMilliseconds);
        if (tried !== undefined || !isPart(attribute)) {
            return tried ?? nowMilliseconds;
        }
        const pendingUntil = this.#decision.pendingUntilMilliseconds(attribute) ?? nowMilliseconds;
        return Math.max(pendingUntil, this.#nextTrialMilliseconds(attribute, runs));
    }

    /**
     * Returns when this host may try an attribute again: late enough for a crash to count as a separate one. What frees
     * all hosts at one moment, news of a crash too, is followed by a delay that differs between them.
     */
    #nextTrialMilliseconds(attribute: string, runs: readonly Run[]): number {
        const earliest = runs.map(({ atMilliseconds, changedAtMilliseconds, isCrash }) =>
            isCrash
                ? Math.max(atMilliseconds + SEPARATION_MILLISECONDS, changedAtMilliseconds)
                : atMilliseconds + CRASH_NEWS_MILLISECONDS
        );
        return Math.max(...earliest, Number.NEGATIVE_INFINITY)
            + trialDelayMilliseconds(this.#host, `${attribute} ${runs.length}`);
    }
}
