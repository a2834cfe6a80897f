/**
 * Records what peers report of crashes, and answers with what this host knows.
 *
 * @module
 */
import { nameRequest, namesOfParts, partOf } from "./_attributes.js";
import { type ConvictionDecision } from "./_convictionDecision.js";
import { type CrashLog, type Loss } from "./_crashLog.js";
import { type CrashNews } from "./_crashNews.js";
import { type Proofs } from "./_proofs.js";
import { type SoundReports } from "./_soundReports.js";
import { Trials } from "./_trials.js";
import { type Conviction, type CrashEvidence, type CrashReport, type TrialClaim } from "./types.js";

/** What peers' reports are recorded in. */
export interface PeerReportsOptions {
    readonly log: CrashLog;
    readonly proofs: Proofs;
    readonly trials: Trials;
    readonly decision: ConvictionDecision;
    readonly soundReports: SoundReports;
    readonly news: CrashNews;
}

/** Receives the reports of peers. */
export class PeerReports {
    readonly #log: CrashLog;
    readonly #proofs: Proofs;
    readonly #trials: Trials;
    readonly #decision: ConvictionDecision;
    readonly #soundReports: SoundReports;
    readonly #news: CrashNews;

    constructor({ decision, log, news, proofs, soundReports, trials }: PeerReportsOptions) {
        this.#log = log;
        this.#proofs = proofs;
        this.#trials = trials;
        this.#decision = decision;
        this.#soundReports = soundReports;
        this.#news = news;
    }

    /** Records what a peer published, in a digest or an aggregate; returns whether it told anything new. */
    receive(report: CrashReport, nowMilliseconds: number): boolean {
        let isChanged = false;
        for (const { ageMilliseconds, attribute } of report.sound) {
            isChanged = this.#receiveSound(attribute, nowMilliseconds - ageMilliseconds, nowMilliseconds) || isChanged;
        }
        for (const evidence of report.suspects) {
            isChanged = this.#receiveEvidence(evidence, nowMilliseconds) || isChanged;
        }
        let isNews = isChanged;
        for (const conviction of report.convictions) {
            isNews = this.#receiveConviction(conviction, nowMilliseconds) || isNews;
        }
        for (const claim of report.trials) {
            isNews = this.#receiveClaim(claim, nowMilliseconds) || isNews;
        }
        if (isChanged) {
            this.#news.passOn();
            this.#decision.judge(nowMilliseconds);
        }
        return isNews;
    }

    #receiveSound(attribute: string, atMilliseconds: number, nowMilliseconds: number): boolean {
        if (!this.#proofs.record(attribute, atMilliseconds, false)) {
            return false;
        }
        this.#soundReports.recordTold(attribute, nowMilliseconds);
        this.#decision.lift(attribute, nowMilliseconds);
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
                this.#soundReports.tell(name, nowMilliseconds);
            }
            else if (this.#trials.isSent(name)) {
                this.#news.announce();
            }
        }
    }

    /** Records a peer's conviction, or answers it where it is disproved; returns whether anything came of it. */
    #receiveConviction(conviction: Conviction, nowMilliseconds: number): boolean {
        const { ageMilliseconds, attributes, crashes } = conviction;
        const convictedAtMilliseconds = nowMilliseconds - ageMilliseconds;
        const disproved = attributes.filter(attribute =>
            this.#decision.isDisproved(attribute, { convictedAtMilliseconds, crashes })
        );
        if (disproved.length > 0) {
            disproved.forEach(attribute => this.#soundReports.tell(attribute, nowMilliseconds));
            return true;
        }
        return this.#decision.receive(conviction, nowMilliseconds);
    }

    /** Records a peer's claim, unless it is known how it ended; returns whether it is news. */
    #receiveClaim(claim: TrialClaim, nowMilliseconds: number): boolean {
        const hasEnded = [...this.#log.runsOf(nameRequest(claim.fingerprint))].some(({ atMilliseconds }) =>
            Trials.isSettled(claim, atMilliseconds, nowMilliseconds)
        );
        const isNews = !hasEnded && this.#trials.receive(claim, nowMilliseconds);
        if (isNews) {
            this.#news.passOn();
        }
        return isNews;
    }
}
