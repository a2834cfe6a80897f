/**
 * Attributes crashes of upstreams to what the requests lost with them have in common.
 *
 * @module
 */
import { isPart, MAXIMUM_SUSPECTED_PARTS, nameRequest, namesOf, namesOfParts, partOf } from "./_attributes.js";
import { ConvictionDecision } from "./_convictionDecision.js";
import { Convictions, describeConviction } from "./_convictions.js";
import { CrashLog, type Loss } from "./_crashLog.js";
import { CrashNews } from "./_crashNews.js";
import { describeLosses, describeRecentLosses } from "./_evidenceReports.js";
import { PeerReports } from "./_peerReports.js";
import { Proofs } from "./_proofs.js";
import { SoundReports } from "./_soundReports.js";
import { Trials } from "./_trials.js";
import { TrialSchedule } from "./_trialSchedule.js";
import {
    type CrashChange,
    type CrashEvidence,
    type CrashReport,
    type RequestAttributes,
    type TrialClaim,
    type Verdict,
} from "./types.js";

/** A refused connection is taken for the end of a crash in which requests were lost within this time before. */
const REFUSAL_AFTER_LOSS_MILLISECONDS = 4_000;

/** An answer proves that its upstream lives on if it was received this long after a loss there. */
const ALIVE_MARGIN_MILLISECONDS = 100;

/** Limits of the lists in a report, which share a datagram with the rest of a digest. */
const MAXIMUM_CONVICTIONS = 16;
const MAXIMUM_TRIALS = 16;

const ACCEPTED: Verdict = { type: "accepted" };

/**
 * Decides which requests are sent while upstreams crash. Each host has one, and they tell each other what they know
 * by reports in their digests.
 *
 * For each send: {@link CrashAttribution.verdict}, and if it is accepted {@link CrashAttribution.recordSent}, followed
 * by one of `recordAnswered`, `recordLost` and `recordEnded`.
 *
 * @example
 * ```ts
 * const crashes = new CrashAttribution("entry-1");
 * crashes.recordSent(attributes, now);
 * crashes.recordLost(attributes, "engine-3/1700000000000", now + 80);
 * crashes.recordCrash("engine-3/1700000000000", now + 90);
 * send({ ...digest, ...crashes.report(now + 90) });
 * crashes.verdict(attributesOfNext, now + 100); // { type: "doubted", attribute: "part:91bd3f06", ... }
 * ```
 */
export class CrashAttribution {
    readonly #log = new CrashLog();
    readonly #proofs = new Proofs();
    readonly #convictions = new Convictions();
    readonly #news = new CrashNews();
    readonly #soundReports = new SoundReports(this.#proofs, this.#news);
    readonly #trials: Trials;
    readonly #decision: ConvictionDecision;
    readonly #schedule: TrialSchedule;
    readonly #peerReports: PeerReports;

    /**
     * @param host The host's name, by which hosts that wait for the same trial take turns.
     */
    constructor(host: string) {
        const parts = { log: this.#log, proofs: this.#proofs, news: this.#news, soundReports: this.#soundReports };
        const trials = new Trials(host);
        const decision = new ConvictionDecision({ ...parts, trials, convictions: this.#convictions });
        this.#trials = trials;
        this.#decision = decision;
        this.#schedule = new TrialSchedule({ ...parts, host, trials, decision });
        this.#peerReports = new PeerReports({ ...parts, trials, decision });
    }

    /**
     * Returns whether a request may be sent now. A doubted one is asked about again when its time has come or something
     * was received; it may then have to wait again.
     *
     * @param attributes The request's attributes.
     * @param nowMilliseconds The time.
     * @returns Accepted; doubted with the time until which it is, at most; or refused.
     *
     * @example
     * ```ts
     * const verdict = crashes.verdict({ fingerprint: "f31a", parts: ["5c1e07a2", "91bd3f06"] }, now);
     * ```
     */
    verdict(attributes: RequestAttributes, nowMilliseconds: number): Verdict {
        const names = namesOf(attributes);
        this.#decision.judgeIfDue(names, nowMilliseconds);
        const conviction = this.#convictions.find(names, nowMilliseconds);
        if (conviction !== undefined && nowMilliseconds < conviction.endsAtMilliseconds) {
            conviction.lastRefusedMilliseconds = nowMilliseconds;
            return {
                type: "refused",
                attribute: conviction.key,
                crashes: conviction.crashes,
                ageMilliseconds: nowMilliseconds - conviction.convictedAtMilliseconds,
            };
        }
        let doubt: Verdict = ACCEPTED;
        for (const attribute of names) {
            const untilMilliseconds = this.#schedule.doubtedUntilMilliseconds(attribute, conviction, nowMilliseconds);
            if (untilMilliseconds > (doubt.type === "doubted" ? doubt.untilMilliseconds : nowMilliseconds)) {
                doubt = { type: "doubted", attribute, untilMilliseconds };
            }
        }
        return doubt;
    }

    /** Records that a request is sent to an upstream. Where it is under suspicion, the peers are told that it is tried. */
    recordSent(attributes: RequestAttributes, nowMilliseconds: number): void {
        this.#trials.recordSent(attributes, nowMilliseconds);
        if (namesOf(attributes).some(name => this.#schedule.isSuspected(name))) {
            this.#news.announce();
        }
    }

    /** Records that a request that was sent ended in another way: rejected, cancelled, or given up. */
    recordEnded(attributes: RequestAttributes): void {
        this.#trials.recordEnded(attributes.fingerprint);
    }

    /**
     * Records that a request's answer has gone on for a while, or is complete: its attributes crash no upstream.
     *
     * @param attributes The request's attributes.
     * @param incarnation The upstream's incarnation, from which bytes have just arrived.
     * @param nowMilliseconds The time.
     */
    recordAnswered(attributes: RequestAttributes, incarnation: string, nowMilliseconds: number): void {
        this.#trials.recordEnded(attributes.fingerprint);
        this.#log.recordAlive(incarnation, nowMilliseconds - ALIVE_MARGIN_MILLISECONDS);
        for (const name of namesOf(attributes)) {
            const isDoubted = this.#schedule.isSuspected(name) || this.#convictions.concerns(name);
            if (isDoubted || isPart(name)) {
                this.#proofs.record(name, nowMilliseconds, true);
            }
            if (isDoubted) {
                this.#soundReports.tell(name, nowMilliseconds);
                this.#decision.lift(name, nowMilliseconds);
            }
        }
    }

    /** Records that a request's connection ended before its answer had begun. */
    recordLost(attributes: RequestAttributes, incarnation: string, nowMilliseconds: number): void {
        this.#trials.recordEnded(attributes.fingerprint);
        const names = namesOfParts(attributes.parts)
            .filter(name => !this.#proofs.excuses(name, nowMilliseconds))
            .slice(0, MAXIMUM_SUSPECTED_PARTS);
        const loss: Loss = {
            fingerprint: attributes.fingerprint,
            attributes: [...names, nameRequest(attributes.fingerprint)],
            parts: names.map(partOf),
            isOwn: true,
            heardAtMilliseconds: nowMilliseconds,
        };
        this.#log.recordLoss(incarnation, loss, nowMilliseconds);
        const isCrash = this.#log.get(incarnation)?.isCrash === true;
        if (names.length > 0 || isCrash) {
            this.#news.announce();
        }
        if (isCrash) {
            this.#decision.judge(nowMilliseconds);
        }
    }

    /**
     * Records that an incarnation is known to have crashed; repeated news of one crash count once.
     *
     * @param incarnation The upstream's incarnation.
     * @param nowMilliseconds The time.
     * @returns The evidence of this host's requests that were lost with it, for the log.
     */
    recordCrash(incarnation: string, nowMilliseconds: number): CrashEvidence[] {
        const run = this.#log.recordCrash(incarnation, nowMilliseconds);
        if (run === undefined) {
            return [];
        }
        const evidence = describeLosses([run], ({ isOwn }) => isOwn, nowMilliseconds);
        if (evidence.length > 0) {
            this.#news.announce();
        }
        this.#decision.judge(nowMilliseconds);
        return evidence;
    }

    /**
     * Records that an incarnation refused a connection: it has crashed if requests were lost there a moment before.
     *
     * @param incarnation The upstream's incarnation.
     * @param nowMilliseconds The time.
     * @returns The evidence of this host's requests that were lost with it, for the log.
     */
    recordRefusedConnection(incarnation: string, nowMilliseconds: number): CrashEvidence[] {
        const run = this.#log.get(incarnation);
        const hasRecentLoss = run !== undefined && run.losses.size > 0
            && nowMilliseconds - run.atMilliseconds < REFUSAL_AFTER_LOSS_MILLISECONDS;
        return hasRecentLoss ? this.recordCrash(incarnation, nowMilliseconds) : [];
    }

    /** Returns what this host publishes in its digest: its own evidence, and the convictions that it knows. */
    report(nowMilliseconds: number): CrashReport {
        this.#news.recordReported();
        this.#decision.judge(nowMilliseconds);
        return this.#describe(entry => entry.isOwn, this.#schedule.ownClaims(), nowMilliseconds);
    }

    /** Returns what a representative passes on to other cells, or into its own: all that it learned lately. */
    aggregate(nowMilliseconds: number): CrashReport {
        this.#news.recordAggregated();
        const claims = [...this.#schedule.ownClaims(), ...this.#trials.peerClaims(nowMilliseconds)];
        return this.#describe(() => true, claims, nowMilliseconds);
    }

    /** Records what a peer published, in a digest or an aggregate; returns whether it told anything new. */
    receive(report: CrashReport, nowMilliseconds: number): boolean {
        return this.#peerReports.receive(report, nowMilliseconds);
    }

    /** Returns whether the next report should be published at once. */
    hasUnpublishedNews(): boolean {
        return this.#news.isUnpublished;
    }

    /** Returns whether a representative should publish its next aggregate at once. */
    hasNewsToPassOn(): boolean {
        return this.#news.isToBePassedOn;
    }

    /** Returns the changes since the last call, for the log. */
    takeChanges(): CrashChange[] {
        return this.#decision.takeChanges();
    }

    /** Drops what is out of date, and convicts what no peer has reported sound in time. */
    expire(nowMilliseconds: number): void {
        this.#log.expire(nowMilliseconds);
        this.#trials.expire(nowMilliseconds);
        this.#convictions.expire(nowMilliseconds);
        this.#soundReports.expire(nowMilliseconds);
        this.#decision.judge(nowMilliseconds);
    }

    #describe(
        isIncluded: (entry: { readonly isOwn: boolean; }) => boolean,
        trials: readonly TrialClaim[],
        nowMilliseconds: number,
    ): CrashReport {
        const convictions = this.#convictions.holding(nowMilliseconds).slice(0, MAXIMUM_CONVICTIONS);
        return {
            suspects: describeRecentLosses(this.#log, isIncluded, nowMilliseconds),
            sound: this.#soundReports.describe(isIncluded, nowMilliseconds),
            convictions: convictions.map(conviction => describeConviction(conviction, nowMilliseconds)),
            trials: trials.slice(0, MAXIMUM_TRIALS),
        };
    }
}
