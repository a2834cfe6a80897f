/**
 * Requests that wait for an engine: per model and class, earliest deadline first.
 *
 * @module
 */
import { type RequestClass } from "../generated/deployment.js";
import { type TrackedRequest } from "./_trackedRequest.js";

/** Queue of one host's waiting requests. */
export interface RequestQueue {
    add(tracked: TrackedRequest): void;
    remove(tracked: TrackedRequest): void;
    /** Returns the waiting requests of a model and class, earliest deadline first. */
    list(model: string, requestClass: RequestClass): readonly TrackedRequest[];
    /** Returns the models with waiting requests of a class, the one with the earliest deadline first. */
    listModels(requestClass: RequestClass): readonly string[];
    count(requestClass: RequestClass): number;
    all(): readonly TrackedRequest[];
}

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export function createRequestQueue(): RequestQueue {
    const lists: Record<RequestClass, Map<string, TrackedRequest[]>> = { urgent: new Map(), patient: new Map() };
    const counts: Record<RequestClass, number> = { urgent: 0, patient: 0 };
    const listOf = (tracked: TrackedRequest): TrackedRequest[] => {
        const models = lists[tracked.request.class];
        const known = models.get(tracked.request.model);
        if (known !== undefined) {
            return known;
        }
        const created: TrackedRequest[] = [];
        models.set(tracked.request.model, created);
        return created;
    };
    return {
        add: tracked => {
            const list = listOf(tracked);
            list.splice(findInsertionIndex(list, tracked.deadlineMilliseconds), 0, tracked);
            counts[tracked.request.class] += 1;
        },
        remove: tracked => {
            const list = listOf(tracked);
            const index = list.indexOf(tracked);
            if (index === -1) {
                return;
            }
            list.splice(index, 1);
            counts[tracked.request.class] -= 1;
            if (list.length === 0) {
                lists[tracked.request.class].delete(tracked.request.model);
            }
        },
        list: (model, requestClass) => lists[requestClass].get(model) ?? [],
        listModels: requestClass => {
            const heads = [...lists[requestClass]].flatMap(([model, list]) => {
                const head = list[0];
                return head === undefined ? [] : [{ model, deadline: head.deadlineMilliseconds }];
            });
            heads.sort((left, right) => left.deadline - right.deadline || (left.model < right.model ? -1 : 1));
            return heads.map(head => head.model);
        },
        count: requestClass => counts[requestClass],
        all: () => [...lists.urgent.values(), ...lists.patient.values()].flat(),
    };
}

/** Returns the index after all requests with the same or an earlier deadline. */
function findInsertionIndex(list: readonly TrackedRequest[], deadlineMilliseconds: number): number {
    let low = 0;
    let high = list.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((list[middle]?.deadlineMilliseconds ?? 0) <= deadlineMilliseconds) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
