/**
 * A network between hosts that delays, loses and cuts.
 *
 * @module
 */
import { type RandomSource } from "../src/decision/index.js";

const SHORTEST_DELAY_MILLISECONDS = 1;
const DELAY_SPREAD_MILLISECONDS = 20;

/** Which messages pass. */
export class Network {
    readonly #random: RandomSource;
    readonly #cuts = new Set<string>();
    readonly #cutFromPlatform = new Set<string>();
    /** Share of messages that are lost. */
    lossShare = 0;

    constructor(random: RandomSource) {
        this.#random = random;
    }

    /** Cuts one direction. */
    cut(from: string, to: string): void {
        this.#cuts.add(`${from}>${to}`);
    }

    /** Cuts all links between hosts of different groups, both ways. */
    partition(groups: readonly (readonly string[])[]): void {
        const groupOf = new Map(groups.flatMap((group, index) => group.map(host => [host, index] as const)));
        for (const [from, fromGroup] of groupOf) {
            for (const [to, toGroup] of groupOf) {
                if (fromGroup !== toGroup) {
                    this.cut(from, to);
                }
            }
        }
    }

    /** Cuts a host from the key-value service and the list of hosts. */
    cutFromPlatform(host: string): void {
        this.#cutFromPlatform.add(host);
    }

    /** Mends everything. */
    heal(): void {
        this.#cuts.clear();
        this.#cutFromPlatform.clear();
        this.lossShare = 0;
    }

    isCutFromPlatform(host: string): boolean {
        return this.#cutFromPlatform.has(host);
    }

    /** Decides on one message. */
    passes(from: string, to: string): boolean {
        return !this.#cuts.has(`${from}>${to}`) && this.#random() >= this.lossShare;
    }

    /** Gives the delay of one message. */
    delay(): number {
        return SHORTEST_DELAY_MILLISECONDS + Math.floor(this.#random() * DELAY_SPREAD_MILLISECONDS);
    }
}
