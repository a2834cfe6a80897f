/**
 * Behaviours of a site's upstreams that tests set for single requests.
 *
 * @module
 */
import { type Behaviour, type ReceivedRequest } from "../../standins/platform/upstream.js";
import { type EntrySite } from "./entrySite.js";

/** Behaviours by request identifier; each attempt consumes the next entry, in order. */
export class ScriptedBehaviours {
    readonly #behavioursById = new Map<string, Behaviour[]>();
    readonly #usual: Behaviour;

    /** `usual` is how upstreams respond to all other requests. */
    constructor(usual: Behaviour = { type: "answer" }) {
        this.#usual = usual;
    }

    /** Responds for an upstream. */
    readonly behave = ({ id }: ReceivedRequest): Behaviour => this.#behavioursById.get(id)?.shift() ?? this.#usual;

    /** Sets the behaviours for a request; returns its identifier. */
    set(id: string, ...behaviours: Behaviour[]): string {
        this.#behavioursById.set(id, behaviours);
        return id;
    }

    /** Sets the behaviours for a request that has no name of its own; returns its identifier. */
    add(...behaviours: Behaviour[]): string {
        return this.set(`scripted-${this.#behavioursById.size + 1}`, ...behaviours);
    }
}

/** Returns the executions of a request on all upstreams of a site. */
export function executionsOf({ upstreams }: EntrySite, id: string): ReceivedRequest[] {
    return upstreams.flatMap(({ received }) => received.filter(request => request.id === id));
}
