/**
 * Decides which attributes are convicted, and which convictions an answer ends.
 *
 * @module
 */
import { isPart } from "./_attributes.js";
import { type Convictions, describeConviction, type KnownConviction } from "./_convictions.js";
import { type CrashLog } from "./_crashLog.js";
import { type CrashNews } from "./_crashNews.js";
import {
    CRASHES_ONCE_ANSWERED,
    crashesAfterTerm,
    EVIDENCE_MILLISECONDS,
    findGuilty,
    type Finding,
    type Knowledge,
} from "./_judgement.js";
import { type Proofs } from "./_proofs.js";
import { type Trials } from "./_trials.js";
import { type Conviction, type CrashChange } from "./types.js";

/** What convictions are decided on. */
export interface ConvictionDecisionOptions {
    readonly log: CrashLog;
    readonly proofs: Proofs;
    readonly convictions: Convictions;
    readonly news: CrashNews;
    readonly trials: Trials;
}

/** Convicts attributes on the evidence of all hosts, and lifts convictions that an answer disproves. */
export class ConvictionDecision {
    readonly #log: CrashLog;
    readonly #proofs: Proofs;
    readonly #convictions: Convictions;
    readonly #news: CrashNews;
    readonly #trials: Trials;
    /** Attributes that will be convicted, by when, unless a peer reports them sound. */
    #pending = new Map<string, number>();
    #changes: CrashChange[] = [];

    constructor({ convictions, log, news, proofs, trials }: ConvictionDecisionOptions) {
        this.#log = log;
        this.#proofs = proofs;
        this.#convictions = convictions;
        this.#news = news;
        this.#trials = trials;
    }

    /** Returns what is known of crashes, answers and convictions. */
    knowledge(): Knowledge {
        return { log: this.#log, proofs: this.#proofs, convictions: [...this.#convictions.all()] };
    }

    /** Returns when an attribute will be convicted unless a peer reports it sound; `undefined` where it will not. */
    pendingUntilMilliseconds(attribute: string): number | undefined {
        return this.#pending.get(attribute);
    }

    /** Returns the changes since the last call, for the log. */
    takeChanges(): CrashChange[] {
        return this.#changes.splice(0);
    }

    /** Convicts what is due among some attributes. */
    judgeIfDue(names: readonly string[], nowMilliseconds: number): void {
        if (this.#pending.size === 0) {
            return;
        }
        if (names.some(name => (this.#pending.get(name) ?? Number.POSITIVE_INFINITY) <= nowMilliseconds)) {
            this.judge(nowMilliseconds);
        }
    }

    /** Convicts what the evidence suffices for, one finding after the other, since each may explain what others do. */
    judge(nowMilliseconds: number): void {
        this.#judgeProbations(nowMilliseconds);
        for (;;) {
            const due = this.#findGuilty(nowMilliseconds - EVIDENCE_MILLISECONDS).find(finding =>
                finding.fromMilliseconds <= nowMilliseconds && !this.#awaitsTrial(finding, nowMilliseconds)
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
        return findGuilty(this.knowledge(), untilMilliseconds).filter(finding => !this.#isConvicted(finding));
    }

    /** Returns when all evidence of an attribute's last crash has arrived. */
    #completeFromMilliseconds(attribute: string): number {
        const times = [...this.#log.runsOf(attribute)].map(({ atMilliseconds }) => atMilliseconds);
        return Math.max(...times) + EVIDENCE_MILLISECONDS;
    }

    /** Returns whether a request with the parts was sent just now, whose answer would clear one of them. */
    #awaitsTrial({ attributes }: Finding, nowMilliseconds: number): boolean {
        return attributes.every(isPart) && this.#trials.isOutcomeExpected(attributes, nowMilliseconds);
    }

    #judgeProbations(nowMilliseconds: number): void {
        const knowledge = this.knowledge();
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
        this.#news.announce();
        this.#changes.push({
            type: "convicted",
            conviction: describeConviction(conviction, nowMilliseconds),
            isOwn: true,
        });
    }

    /** Lifts convictions that an answer disproves: a later one, or any where the crashes could be a coincidence. */
    lift(attribute: string, nowMilliseconds: number): void {
        for (const conviction of this.#convictions.all()) {
            if (conviction.attributes.includes(attribute) && this.isDisproved(attribute, conviction)) {
                this.#convictions.remove(conviction);
                this.#news.passOn();
                this.#changes.push({
                    type: "lifted",
                    conviction: describeConviction(conviction, nowMilliseconds),
                    attribute,
                });
            }
        }
    }

    /** Returns whether an answer on an attribute disproves a conviction. */
    isDisproved(
        attribute: string,
        { convictedAtMilliseconds, crashes }: Pick<KnownConviction, "convictedAtMilliseconds" | "crashes">,
    ): boolean {
        const answeredAt = this.#proofs.lastAnswerMilliseconds(attribute);
        return answeredAt !== undefined
            && (answeredAt >= convictedAtMilliseconds || crashes < CRASHES_ONCE_ANSWERED);
    }

    /** Records a conviction that a peer reported, which no answer disproves; returns whether it is news. */
    receive(conviction: Conviction, nowMilliseconds: number): boolean {
        const known = this.#convictions.receive(conviction, nowMilliseconds);
        if (known !== undefined) {
            this.#news.passOn();
            this.#changes.push({
                type: "convicted",
                conviction: describeConviction(known, nowMilliseconds),
                isOwn: false,
            });
        }
        return known !== undefined;
    }
}
