/**
 * Bounds the number of values of a label.
 *
 * @module
 */

/** Stands for all accounts beyond the bound. */
const OTHER = "other";

type Labels = Readonly<Record<string, string>>;

/** Keeps the first accounts that are counted apart, and counts all others together. */
export class BoundedLabels {
    readonly #maximumValues: number;
    readonly #values = new Set<string>();

    constructor(maximumValues: number) {
        this.#maximumValues = maximumValues;
    }

    /** Replaces the value of the label `account` where it is beyond the bound. */
    bound(labels: Labels): Labels {
        const account = labels["account"];
        if (account === undefined || this.#values.has(account)) {
            return labels;
        }
        if (this.#values.size < this.#maximumValues) {
            this.#values.add(account);
            return labels;
        }
        return { ...labels, account: OTHER };
    }
}
