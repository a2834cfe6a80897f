/**
 * Exchanges statements with peers so that holders may continue while the key-value service answers no host.
 *
 * Hosts of a cell state in each digest whether the service answers them. Hosts of other cells are asked, during an
 * outage only, where they may take engines over.
 *
 * @module
 */
import { type ClockReading, type EngineDuties, OutageConsent, OutageWitnesses } from "../../duties/index.js";
import { type ConsentAnswer, type ConsentQuestion, type HostDigest } from "../../generated/gossip.js";
import { type EngineGossip } from "./engineGossip.js";

/** Digests older than this are no longer confirmed; their sender remembers fewer of its own. */
const DIGEST_RETENTION_MILLISECONDS = 10_000;

/** A question is answered anew for this long; an answer to an older one would confirm nobody. */
const QUESTION_LIFETIME_MILLISECONDS = 1_500;

/** Options of the outage agreement. */
export interface OutageAgreementOptions {
    /** This host. */
    readonly host: string;
    readonly duties: EngineDuties;
    readonly gossip: Pick<EngineGossip, "answerConsentQuestion" | "askForConsent">;
    readonly readClocks: () => ClockReading;
    /** Returns whether the service answers this host. */
    readonly serviceAnswers: () => boolean;
    readonly isLeaving: () => boolean;
    /** Returns the other hosts of the own cell that may hold engines. */
    readonly cellHosts: () => readonly string[];
    /** Returns all other hosts of the fleet that may take engines over. */
    readonly possibleTakers: () => readonly string[];
}

/** The part of a digest from which a holder learns whether the sender consents to its continuing. */
export type ConsentStatement = Pick<HostDigest, "sequence" | "heard" | "serviceAnswers" | "holderRevisions">;

/** A question that this host did not consent to when it came. */
interface RefusedQuestion {
    readonly question: ConsentQuestion;
    readonly atMilliseconds: number;
}

/**
 * States whether the service answers this host, records the statements of others, and confirms this host's duties once
 * all hosts that may take engines over consent.
 *
 * @example
 * ```ts
 * const agreement = new OutageAgreement(options);
 * send({ ...digest, ...agreement.nextStatement() });
 * agreement.exchangeWithOtherCells();
 * agreement.receiveStatement(digestOfPeer);
 * ```
 */
export class OutageAgreement {
    readonly #options: OutageAgreementOptions;
    readonly #consent = new OutageConsent();
    readonly #witnesses: OutageWitnesses;
    /** The number of each host's last digest, and when it was received. */
    readonly #lastDigests = new Map<string, { readonly sequence: number; readonly atMilliseconds: number; }>();
    /** Last questions of hosts to which this host did not consent, by host. */
    readonly #refusedQuestions = new Map<string, RefusedQuestion>();
    #sequence = 0;

    constructor(options: OutageAgreementOptions) {
        this.#options = options;
        this.#witnesses = new OutageWitnesses(options.host);
    }

    /** Numbers the next digest and returns its statement; while the service answers, it states only that. */
    nextStatement(): ConsentStatement {
        const { duties, readClocks, serviceAnswers } = this.#options;
        this.#sequence += 1;
        this.#consent.recordDigestSent(this.#sequence, readClocks());
        if (serviceAnswers()) {
            return { sequence: this.#sequence, serviceAnswers: true, heard: {}, holderRevisions: {} };
        }
        return {
            sequence: this.#sequence,
            serviceAnswers: false,
            heard: this.#lastDigestNumbers(),
            holderRevisions: Object.fromEntries(duties.holderRevisions()),
        };
    }

    /**
     * Asks hosts of other cells for their consent where this host holds engines, and gives the consent that it refused
     * while the service answered; called after each digest. Sends nothing while the service answers.
     */
    exchangeWithOtherCells(): void {
        const { gossip, serviceAnswers } = this.#options;
        this.#recordFleet();
        if (serviceAnswers()) {
            return;
        }
        this.#answerRefusedQuestions();
        const held = this.#heldRevisions();
        const cellHosts = new Set(this.#options.cellHosts());
        const asked = this.#witnesses.hosts().filter(host => !cellHosts.has(host));
        if (held.size > 0 && asked.length > 0) {
            gossip.askForConsent(asked, { sequence: this.#sequence, holderRevisions: Object.fromEntries(held) });
        }
    }

    /** Records a peer's statement, and confirms this host's duties where all others now consent. */
    receiveStatement(
        { heard, holderRevisions, host, leaving, sequence, serviceAnswers }:
            & ConsentStatement
            & Pick<HostDigest, "host" | "leaving">,
    ): void {
        this.#lastDigests.set(host, { sequence, atMilliseconds: this.#now() });
        this.#record({ heard: heard[this.#options.host], holderRevisions, host, leaving, serviceAnswers });
    }

    /** Answers a holder of another cell that asks for consent. */
    receiveQuestion(question: ConsentQuestion): void {
        this.#refusedQuestions.delete(question.host);
        if (this.#options.serviceAnswers()) {
            this.#refusedQuestions.set(question.host, { question, atMilliseconds: this.#now() });
        }
        this.#answer(question);
    }

    /** Records another cell's answer, and confirms this host's duties where all others now consent. */
    receiveAnswer(answer: ConsentAnswer): void {
        this.#record(answer);
    }

    /** Returns the hosts whose consent is missing, for the log. */
    hostsWithoutConsent(): string[] {
        return this.#consent.hostsWithoutConsent(this.#witnesses.hosts(), this.#heldRevisions());
    }

    #record(
        { heard, holderRevisions, host, leaving, serviceAnswers }: Omit<ConsentAnswer, "type" | "heard"> & {
            readonly heard: number | undefined;
        },
    ): void {
        const known = new Map(Object.entries(holderRevisions));
        const isSuperseded = [...this.#heldRevisions()].some(([engine, revision]) =>
            (known.get(engine) ?? 0) > revision
        );
        this.#witnesses.recordLeaving(host, leaving && !isSuperseded);
        this.#consent.recordStatement({ host, heard, serviceAnswers, holderRevisions: known });
        this.#confirmByConsent();
    }

    /** Confirms this host's duties by the other hosts' consent where the service does not answer. */
    #confirmByConsent(): void {
        const { cellHosts, duties, serviceAnswers } = this.#options;
        if (serviceAnswers()) {
            return;
        }
        const held = this.#heldRevisions();
        if (held.size === 0) {
            return;
        }
        this.#witnesses.recordCellHosts(cellHosts());
        const agreedAt = this.#consent.agreedAt(this.#witnesses.hosts(), held);
        if (agreedAt !== undefined) {
            duties.recordPeerConsent(agreedAt);
        }
    }

    #recordFleet(): void {
        const { cellHosts, duties, possibleTakers, serviceAnswers } = this.#options;
        this.#witnesses.recordFleet({
            serviceAnswers: serviceAnswers(),
            cellHosts: cellHosts(),
            possibleTakers: possibleTakers(),
            engineCount: duties.engineCount,
        });
    }

    #answerRefusedQuestions(): void {
        for (const { atMilliseconds, question } of this.#refusedQuestions.values()) {
            if (this.#now() - atMilliseconds < QUESTION_LIFETIME_MILLISECONDS) {
                this.#answer(question);
            }
        }
        this.#refusedQuestions.clear();
    }

    #answer({ holderRevisions, host, sequence }: ConsentQuestion): void {
        const { duties, gossip, isLeaving, serviceAnswers } = this.#options;
        const later = [...duties.holderRevisions()].filter(([engine, revision]) =>
            revision > (holderRevisions[engine] ?? revision)
        );
        gossip.answerConsentQuestion(host, {
            heard: sequence,
            serviceAnswers: serviceAnswers(),
            leaving: isLeaving(),
            holderRevisions: Object.fromEntries(later),
        });
    }

    #heldRevisions(): Map<string, number> {
        return new Map(this.#options.duties.held().map(({ engine, expectedRevision }) => [engine, expectedRevision]));
    }

    #lastDigestNumbers(): Record<string, number> {
        for (const [host, { atMilliseconds }] of this.#lastDigests) {
            if (this.#now() - atMilliseconds > DIGEST_RETENTION_MILLISECONDS) {
                this.#lastDigests.delete(host);
            }
        }
        return Object.fromEntries([...this.#lastDigests].map(([host, { sequence }]) => [host, sequence]));
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }
}
