/**
 * Admits a share of the requests.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";

/**
 * Admits a share of the requests by error diffusion: the part of a request that the share leaves over is carried to the
 * next one. It starts at random, so that hosts that see one request each admit the share together.
 *
 * @example
 * ```ts
 * const share = new AdmissionShare(random);
 * share.take(0.25); // true for one request of four
 * ```
 */
export class AdmissionShare {
    #remainder: number;

    constructor(random: RandomSource) {
        this.#remainder = random();
    }

    /** Returns whether a request is admitted, given the share of requests to admit now. */
    take(share: number): boolean {
        if (share >= 1) {
            return true;
        }
        this.#remainder += Math.max(0, share);
        if (this.#remainder < 1) {
            return false;
        }
        this.#remainder -= 1;
        return true;
    }
}
