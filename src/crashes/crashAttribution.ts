/**
 * Attributes crashes of upstreams to what the requests lost with them have in common.
 *
 * @module
 */
import { isPart, nameRequest, namesOf, namesOfParts, partOf } from "./_attributes.js";
import { Convictions, describeConviction, type KnownConviction } from "./_convictions.js";
import { CrashLog, type Loss, type Run } from "./_crashLog.js";
import {
    blamedRuns,
    countSeparate,
    CRASHES_ONCE_ANSWERED,
    crashesAfterTerm,
    EVIDENCE_MILLISECONDS,
    findGuilty,
    type Finding,
    type Knowledge,
    SEPARATION_MILLISECONDS,
} from "./_judgement.js";
import { Proofs } from "./_proofs.js";
import { trialDelayMilliseconds, Trials } from "./_trials.js";
import {
    type Conviction,
    type CrashChange,
    type CrashEvidence,
    type CrashReport,
    type LostRun,
    type RequestAttributes,
    type SoundAttribute,
    type TrialClaim,
    type Verdict,
} from "./types.js";

/** News are repeated in all digests of this time, since datagrams are lost. */
const REPEAT_MILLISECONDS = 2_500;

/** News are published so many times before the next digest is due, for the same reason. */
const URGENT_REPORTS = 3;

/** After a loss that is not known to be a crash, the next trial waits this long for that news. */
const CRASH_NEWS_MILLISECONDS = 1_500;

/** A refused connection is taken for the end of a crash in which requests were lost within this time before. */
const REFUSAL_AFTER_LOSS_MILLISECONDS = 4_000;

/** An answer proves that its upstream lives on if it was received this long after a loss there. */
const ALIVE_MARGIN_MILLISECONDS = 100;

/** Bounds of a report's lists, which share a datagram with the rest of a digest. */
const MAXIMUM_EVIDENCE = 64;
const MAXIMUM_EVIDENCE_CHARACTERS = 16_000;
const MAXIMUM_RUNS = 16;
const MAXIMUM_SOUND = 64;
const MAXIMUM_CONVICTIONS = 16;
const MAXIMUM_TRIALS = 16;

/** Word that an attribute is sound, as it is repeated for a while. */
interface SoundReport {
    readonly sinceMilliseconds: number;
    /** Whether this host tells it to its peers; representatives pass on what peers told as well. */
    readonly isOwn: boolean;
}

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
    readonly #host: string;
    readonly #log = new CrashLog();
    readonly #proofs = new Proofs();
    readonly #convictions = new Convictions();
    readonly #trials: Trials;
    /** Attributes that others should be told are sound. */
    readonly #soundReports = new Map<string, SoundReport>();
    /** Attributes that will be convicted, by when, unless a peer reports them sound. */
    #pending = new Map<string, number>();
    #changes: CrashChange[] = [];
    /** Numbers of reports and aggregates that are still to be published at once. */
    #urgentReports = 0;
    #urgentAggregates = 0;

    /**
     * @param host The host's name, by which hosts that wait for the same trial take turns.
     */
    constructor(host: string) {
        this.#host = host;
        this.#trials = new Trials(host);
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
        this.#judgeIfDue(names, nowMilliseconds);
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
            const untilMilliseconds = this.#doubtedUntil(attribute, conviction, nowMilliseconds);
            if (untilMilliseconds > (doubt.type === "doubted" ? doubt.untilMilliseconds : nowMilliseconds)) {
                doubt = { type: "doubted", attribute, untilMilliseconds };
            }
        }
        return doubt;
    }

    /** Records that a request is sent to an upstream. Where it is under suspicion, the peers are told that it is tried. */
    recordSent(attributes: RequestAttributes, nowMilliseconds: number): void {
        this.#trials.recordSent(attributes, nowMilliseconds);
        if (namesOf(attributes).some(name => this.#isSuspected(name))) {
            this.#announce();
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
            const isDoubted = this.#isSuspected(name) || this.#convictions.concerns(name);
            if (isDoubted || isPart(name)) {
                this.#proofs.record(name, nowMilliseconds, true);
            }
            if (isDoubted) {
                this.#reportSound(name, nowMilliseconds);
                this.#lift(name, nowMilliseconds);
            }
        }
    }

    /** Records that a request's connection ended before its answer had begun. */
    recordLost(attributes: RequestAttributes, incarnation: string, nowMilliseconds: number): void {
        this.#trials.recordEnded(attributes.fingerprint);
        const names = namesOfParts(attributes.parts).filter(name => !this.#proofs.excuses(name, nowMilliseconds));
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
            this.#announce();
        }
        if (isCrash) {
            this.#judge(nowMilliseconds);
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
            this.#announce();
        }
        this.#judge(nowMilliseconds);
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
        this.#urgentReports = Math.max(0, this.#urgentReports - 1);
        this.#judge(nowMilliseconds);
        return this.#describe(entry => entry.isOwn, this.#ownClaims(), nowMilliseconds);
    }

    /** Returns what a representative passes on to other cells, or into its own: all that it learned lately. */
    aggregate(nowMilliseconds: number): CrashReport {
        this.#urgentAggregates = Math.max(0, this.#urgentAggregates - 1);
        const claims = [...this.#ownClaims(), ...this.#trials.peerClaims(nowMilliseconds)];
        return this.#describe(() => true, claims, nowMilliseconds);
    }

    /** Records what a peer published, in a digest or an aggregate. */
    receive(report: CrashReport, nowMilliseconds: number): void {
        let isChanged = false;
        for (const { ageMilliseconds, attribute } of report.sound) {
            isChanged = this.#receiveSound(attribute, nowMilliseconds - ageMilliseconds, nowMilliseconds) || isChanged;
        }
        for (const evidence of report.suspects) {
            isChanged = this.#receiveEvidence(evidence, nowMilliseconds) || isChanged;
        }
        for (const conviction of report.convictions) {
            this.#receiveConviction(conviction, nowMilliseconds);
        }
        for (const claim of report.trials) {
            this.#receiveClaim(claim, nowMilliseconds);
        }
        if (isChanged) {
            this.#urgentAggregates = URGENT_REPORTS;
            this.#judge(nowMilliseconds);
        }
    }

    /** Returns whether the next report should be published at once. */
    hasUnpublishedNews(): boolean {
        return this.#urgentReports > 0;
    }

    /** Returns whether a representative should publish its next aggregate at once. */
    hasNewsToPassOn(): boolean {
        return this.#urgentAggregates > 0;
    }

    /** Returns the changes since the last call, for the log. */
    takeChanges(): CrashChange[] {
        return this.#changes.splice(0);
    }

    /** Drops what is out of date, and convicts what no peer has reported sound in time. */
    expire(nowMilliseconds: number): void {
        this.#log.expire(nowMilliseconds);
        this.#trials.expire(nowMilliseconds);
        this.#convictions.expire(nowMilliseconds);
        for (const [attribute, { sinceMilliseconds }] of this.#soundReports) {
            if (nowMilliseconds - sinceMilliseconds > REPEAT_MILLISECONDS) {
                this.#soundReports.delete(attribute);
            }
        }
        this.#judge(nowMilliseconds);
    }

    #announce(): void {
        this.#urgentReports = URGENT_REPORTS;
        this.#urgentAggregates = URGENT_REPORTS;
    }

    #knowledge(): Knowledge {
        return { log: this.#log, proofs: this.#proofs, convictions: [...this.#convictions.all()] };
    }

    #isSuspected(attribute: string): boolean {
        return !this.#log.isUnsuspected(attribute) && blamedRuns(attribute, this.#knowledge()).length > 0;
    }

    /** Returns until when an attribute's requests are held back; a past time where they are not. */
    #doubtedUntil(
        attribute: string,
        conviction: KnownConviction | undefined,
        nowMilliseconds: number,
    ): number {
        const isOnProbation = conviction?.attributes.includes(attribute) === true;
        if (this.#log.isUnsuspected(attribute) && !isOnProbation) {
            return nowMilliseconds;
        }
        const runs = blamedRuns(attribute, this.#knowledge());
        const wasAnswered = this.#proofs.lastAnswerMilliseconds(attribute) !== undefined;
        if (!isOnProbation && (runs.length === 0 || wasAnswered && countSeparate(runs) < 2)) {
            return nowMilliseconds;
        }
        const tried = this.#trials.triedUntilMilliseconds(attribute, nowMilliseconds);
        if (tried !== undefined || !isPart(attribute)) {
            return tried ?? nowMilliseconds;
        }
        const pendingUntil = this.#pending.get(attribute) ?? nowMilliseconds;
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

    #judgeIfDue(names: readonly string[], nowMilliseconds: number): void {
        if (this.#pending.size === 0) {
            return;
        }
        if (names.some(name => (this.#pending.get(name) ?? Number.POSITIVE_INFINITY) <= nowMilliseconds)) {
            this.#judge(nowMilliseconds);
        }
    }

    /** Convicts what the evidence suffices for, one finding after the other, since each may explain what others do. */
    #judge(nowMilliseconds: number): void {
        this.#judgeProbations(nowMilliseconds);
        for (;;) {
            const due = this.#findGuilty(nowMilliseconds - EVIDENCE_MILLISECONDS).find(({ fromMilliseconds }) =>
                fromMilliseconds <= nowMilliseconds
            );
            if (due === undefined) {
                break;
            }
            this.#convict(due.attributes, due.crashes, nowMilliseconds);
        }
        this.#pending = new Map(
            this.#findGuilty(nowMilliseconds).flatMap(({ attributes, fromMilliseconds }) =>
                attributes.map(attribute =>
                    [attribute, Math.max(fromMilliseconds, this.#completeFromMilliseconds(attribute))] as const
                )
            ),
        );
    }

    /** Returns the findings that add something to the convictions, by the crashes up to a time. */
    #findGuilty(untilMilliseconds: number): Finding[] {
        return findGuilty(this.#knowledge(), untilMilliseconds).filter(finding => !this.#isConvicted(finding));
    }

    /** Returns when all evidence of an attribute's last crash has arrived. */
    #completeFromMilliseconds(attribute: string): number {
        const times = [...this.#log.runsOf(attribute)].map(({ atMilliseconds }) => atMilliseconds);
        return Math.max(...times) + EVIDENCE_MILLISECONDS;
    }

    #judgeProbations(nowMilliseconds: number): void {
        const knowledge = this.#knowledge();
        const ended = knowledge.convictions.filter(({ endsAtMilliseconds }) => endsAtMilliseconds <= nowMilliseconds);
        for (const conviction of ended) {
            const crashes = crashesAfterTerm(conviction, knowledge);
            if (crashes > 0) {
                this.#convict(conviction.attributes, conviction.crashes + crashes, nowMilliseconds);
            }
        }
    }

    /** Returns whether a finding adds nothing to the convictions: fewer attributes convict more requests. */
    #isConvicted({ attributes }: Finding): boolean {
        return [...this.#convictions.all()].some(conviction =>
            conviction.attributes.every(attribute => attributes.includes(attribute))
        );
    }

    #convict(attributes: readonly string[], crashes: number, nowMilliseconds: number): void {
        const conviction = this.#convictions.convict(attributes, crashes, nowMilliseconds);
        this.#announce();
        this.#changes.push({
            type: "convicted",
            conviction: describeConviction(conviction, nowMilliseconds),
            isOwn: true,
        });
    }

    /** Tells the peers at once of an answer on an attribute that some host suspects or has convicted. */
    #reportSound(attribute: string, nowMilliseconds: number): void {
        if (this.#soundReports.get(attribute)?.isOwn !== true) {
            this.#soundReports.set(attribute, { sinceMilliseconds: nowMilliseconds, isOwn: true });
            this.#announce();
        }
    }

    /** Lifts convictions that an answer disproves: a later one, or any where the crashes could be a coincidence. */
    #lift(attribute: string, nowMilliseconds: number): void {
        for (const conviction of this.#convictions.all()) {
            if (conviction.attributes.includes(attribute) && this.#isDisproved(attribute, conviction)) {
                this.#convictions.remove(conviction);
                this.#urgentAggregates = URGENT_REPORTS;
                this.#changes.push({
                    type: "lifted",
                    conviction: describeConviction(conviction, nowMilliseconds),
                    attribute,
                });
            }
        }
    }

    #isDisproved(
        attribute: string,
        { convictedAtMilliseconds, crashes }: Pick<KnownConviction, "convictedAtMilliseconds" | "crashes">,
    ): boolean {
        const answeredAt = this.#proofs.lastAnswerMilliseconds(attribute);
        return answeredAt !== undefined
            && (answeredAt >= convictedAtMilliseconds || crashes < CRASHES_ONCE_ANSWERED);
    }

    #receiveSound(attribute: string, atMilliseconds: number, nowMilliseconds: number): boolean {
        if (!this.#proofs.record(attribute, atMilliseconds, false)) {
            return false;
        }
        this.#soundReports.set(attribute, { sinceMilliseconds: nowMilliseconds, isOwn: false });
        this.#lift(attribute, nowMilliseconds);
        return true;
    }

    #receiveEvidence({ fingerprint, parts, runs }: CrashEvidence, nowMilliseconds: number): boolean {
        let isChanged = false;
        const names = namesOfParts(parts);
        const loss: Loss = {
            fingerprint,
            attributes: [...names, nameRequest(fingerprint)],
            parts: names.map(partOf),
            isOwn: false,
            heardAtMilliseconds: nowMilliseconds,
        };
        for (const { ageMilliseconds, incarnation, isCrash } of runs) {
            const isNew = this.#log.recordLoss(incarnation, loss, nowMilliseconds - ageMilliseconds);
            const isNewCrash = isCrash && this.#log.recordCrash(incarnation, nowMilliseconds) !== undefined;
            isChanged ||= isNew || isNewCrash;
        }
        if (isChanged) {
            this.#trials.endClaim(fingerprint);
            this.#respond(names, nowMilliseconds);
        }
        return isChanged;
    }

    /** Tells the peers what this host knows of attributes that one of them suspects. */
    #respond(names: readonly string[], nowMilliseconds: number): void {
        for (const name of names) {
            if (this.#proofs.lastOwnAnswerMilliseconds(name) !== undefined) {
                this.#reportSound(name, nowMilliseconds);
            }
            else if (this.#trials.isSent(name)) {
                this.#announce();
            }
        }
    }

    #receiveConviction(conviction: Conviction, nowMilliseconds: number): void {
        const { ageMilliseconds, attributes, crashes } = conviction;
        const convictedAtMilliseconds = nowMilliseconds - ageMilliseconds;
        const disproved = attributes.filter(attribute =>
            this.#isDisproved(attribute, { convictedAtMilliseconds, crashes })
        );
        if (disproved.length > 0) {
            disproved.forEach(attribute => this.#reportSound(attribute, nowMilliseconds));
            return;
        }
        const known = this.#convictions.receive(conviction, nowMilliseconds);
        if (known !== undefined) {
            this.#urgentAggregates = URGENT_REPORTS;
            this.#changes.push({
                type: "convicted",
                conviction: describeConviction(known, nowMilliseconds),
                isOwn: false,
            });
        }
    }

    /** Records a peer's claim, unless it is known how it ended. */
    #receiveClaim(claim: TrialClaim, nowMilliseconds: number): void {
        const hasEnded = [...this.#log.runsOf(nameRequest(claim.fingerprint))].some(({ atMilliseconds }) =>
            Trials.isSettled(claim, atMilliseconds, nowMilliseconds)
        );
        if (!hasEnded && this.#trials.receive(claim, nowMilliseconds)) {
            this.#urgentAggregates = URGENT_REPORTS;
        }
    }

    #ownClaims(): TrialClaim[] {
        return this.#trials.ownClaims(attribute => isPart(attribute) && this.#isSuspected(attribute));
    }

    #describe(
        isIncluded: (entry: { readonly isOwn: boolean; }) => boolean,
        trials: readonly TrialClaim[],
        nowMilliseconds: number,
    ): CrashReport {
        const changed = [...this.#log.runs()].filter(({ changedAtMilliseconds }) =>
            nowMilliseconds - changedAtMilliseconds <= REPEAT_MILLISECONDS
        );
        const convictions = this.#convictions.holding(nowMilliseconds).slice(0, MAXIMUM_CONVICTIONS);
        return {
            suspects: withinReport(describeLosses(changed, isIncluded, nowMilliseconds)),
            sound: this.#describeSound(isIncluded, nowMilliseconds),
            convictions: convictions.map(conviction => describeConviction(conviction, nowMilliseconds)),
            trials: trials.slice(0, MAXIMUM_TRIALS),
        };
    }

    #describeSound(
        isIncluded: (entry: { readonly isOwn: boolean; }) => boolean,
        nowMilliseconds: number,
    ): SoundAttribute[] {
        const reports = [...this.#soundReports].filter(([, entry]) =>
            isIncluded(entry) && nowMilliseconds - entry.sinceMilliseconds <= REPEAT_MILLISECONDS
        );
        return reports.slice(-MAXIMUM_SOUND).flatMap(([attribute]) => {
            const answeredAt = this.#proofs.lastAnswerMilliseconds(attribute);
            return answeredAt === undefined
                ? []
                : [{ attribute, ageMilliseconds: Math.max(0, Math.round(nowMilliseconds - answeredAt)) }];
        });
    }
}

/** Returns the latest evidence that fits into a report; names of parts come from callers and may be long. */
function withinReport(evidence: readonly CrashEvidence[]): CrashEvidence[] {
    let characters = 0;
    const latest = evidence.slice(-MAXIMUM_EVIDENCE).reverse();
    const fitting = latest.filter(entry => {
        characters += JSON.stringify(entry).length;
        return characters <= MAXIMUM_EVIDENCE_CHARACTERS;
    });
    return fitting.reverse();
}

/** Describes losses for peers: those on crashed incarnations, and others that have parts to suspect. */
function describeLosses(
    runs: readonly Run[],
    isIncluded: (loss: Loss) => boolean,
    nowMilliseconds: number,
): CrashEvidence[] {
    const described = new Map<string, { readonly loss: Loss; readonly runs: LostRun[]; }>();
    for (const { atMilliseconds, incarnation, isCrash, losses } of runs) {
        const ageMilliseconds = Math.max(0, Math.round(nowMilliseconds - atMilliseconds));
        const included = [...losses.values()].filter(loss => isIncluded(loss) && (isCrash || loss.parts.length > 0));
        for (const loss of included) {
            const entry = described.get(loss.fingerprint) ?? { loss, runs: [] };
            entry.runs.push({ incarnation, ageMilliseconds, isCrash });
            described.set(loss.fingerprint, entry);
        }
    }
    return [...described.values()].map(({ loss, runs: lostRuns }) => ({
        fingerprint: loss.fingerprint,
        runs: lostRuns.slice(-MAXIMUM_RUNS),
        parts: loss.parts,
    }));
}
