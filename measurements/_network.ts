/**
 * A simulated network between hosts with delays, message loss and cut links.
 *
 * @module
 */
import { type RandomSource } from "../src/decision/index.js";

const MINIMUM_DELAY_MILLISECONDS = 1;
const DELAY_SPREAD_MILLISECONDS = 20;

/** Decides which messages are delivered, and after which delay. */
export class Network {
    readonly #random: RandomSource;
    readonly #cutLinks = new Set<string>();
    readonly #hostsCutFromPlatform = new Set<string>();
    /** Share of messages that are lost. */
    lossShare = 0;

    constructor(random: RandomSource) {
        this.#random = random;
    }

    /** Cuts a link in one direction. */
    cut(from: string, to: string): void {
        this.#cutLinks.add(`${from}>${to}`);
    }

    /** Cuts all links between hosts of different groups, in both directions. */
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
        this.#hostsCutFromPlatform.add(host);
    }

    /** Restores all links and ends message loss. */
    heal(): void {
        this.#cutLinks.clear();
        this.#hostsCutFromPlatform.clear();
        this.lossShare = 0;
    }

    isCutFromPlatform(host: string): boolean {
        return this.#hostsCutFromPlatform.has(host);
    }

    /** Decides whether a message is delivered: never over a cut link, else with the probability `1 - lossShare`. */
    passes(from: string, to: string): boolean {
        return !this.#cutLinks.has(`${from}>${to}`) && this.#random() >= this.lossShare;
    }

    /** Draws the delay of one message. */
    drawDelayMilliseconds(): number {
        return MINIMUM_DELAY_MILLISECONDS + Math.floor(this.#random() * DELAY_SPREAD_MILLISECONDS);
    }
}
