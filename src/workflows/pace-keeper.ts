/**
Keeps the paces of the tasks that fill beside serving tasks: learns from each state of an agent, decides, and orders.
*/
import {type Clock} from '../types/clock.ts';
import {OrderType, type Order} from '../types/fleet.ts';
import {type AgentLinks} from './agent-links.ts';
import {
	getFillers, getServers, type FillHarm,
} from './fill-harm.ts';
import {type FleetWorker} from './fleet-view.ts';
import {decidePaces} from './harm-pacing.ts';
import {RunPhase, type LiveRun} from './live-model.ts';

/** What a serving task reports is of the last half second: a mix that changed within it explains nothing. */
const measuredMs = 550;

const getPace = (worker: FleetWorker, run: LiveRun): number => worker.paces.get(run.task.step.spec.image ?? '')?.percent ?? 100;

/** The keeper. */
export class PaceKeeper {
	readonly #harm: FillHarm;
	readonly #links: AgentLinks;
	readonly #clock: Clock;
	readonly #note: (event: string, fields: Record<string, unknown>) => void;

	constructor({harm, links, clock, note}: {harm: FillHarm; links: AgentLinks; clock: Clock; note: (event: string, fields: Record<string, unknown>) => void}) {
		this.#harm = harm;
		this.#links = links;
		this.#clock = clock;
		this.#note = note;
	}

	/** Takes a worker's newest state. */
	take(worker: FleetWorker): void {
		this.#decide(worker, this.#clock.monotonicMs());
		const changed = [...worker.runs].filter(run => run.phase === RunPhase.Running && run.task.step.spec.isFilling && run.pacePercent !== getPace(worker, run));
		if (changed.length > 0) {
			void this.#send(worker, changed);
		}
	}

	#decide(worker: FleetWorker, nowMs: number): void {
		const fillers = getFillers(worker.runs, worker.paces, nowMs);
		const servers = getServers(worker.runs);
		const key = fillers.map(({image, cores}) => `${image}:${cores}`).join(' ');
		if (key !== worker.fillKey) {
			worker.fillKey = key;
			worker.fillChangedAtMs = nowMs;
		}

		if (servers.length > 0 && nowMs - worker.fillChangedAtMs >= measuredMs) {
			this.#harm.note(servers, fillers, nowMs);
		}

		const worstRatio = Math.max(0, ...servers.map(({ratio}) => ratio));
		for (const [image, percent] of decidePaces(servers, fillers, (server, filler) => this.#harm.getEffect(server, filler))) {
			const before = worker.paces.get(image)?.percent ?? 100;
			this.#note('pace', {
				host: worker.host, image, percent, before, worstRatio,
			});
			worker.paces.set(image, {percent, changedAtMs: nowMs});
			worker.fillChangedAtMs = nowMs;
		}
	}

	async #send(worker: FleetWorker, runs: LiveRun[]): Promise<void> {
		const orders = runs.map((run): Order => {
			run.pacePercent = getPace(worker, run);
			return {
				type: OrderType.Pace, taskId: run.task.taskId, run: run.run, percent: run.pacePercent,
			};
		});
		const reply = await this.#links.order(worker, orders);
		for (const [index, run] of runs.entries()) {
			if (!reply?.answers[index]?.isDone) {
				// Told again with the next state of the agent.
				run.pacePercent = undefined;
			}
		}
	}
}
