/**
Faults of a soak run, drawn from its seed.
*/
import {callJson} from '../utils/json-client.ts';
import {type SoakCallers} from './soak-callers.ts';
import {Role, type SoakProcess} from './soak-processes.ts';
import {callTimeoutMs, type SoakContext} from './soak-context.ts';

/** A process that was restarted or resumed need not have the latest configuration for this long. */
const configGraceMs = 3000;

/** Injects one fault after the other until the signal aborts. */
export const injectFaults = async (context: SoakContext, callers: SoakCallers): Promise<void> => {
	const {options, clock, random, signal} = context;
	if (options.faultEveryMs === undefined) {
		return;
	}

	const faults = createFaults(context, callers);
	while (!signal.aborted) {
		await clock.sleep(options.faultEveryMs * (0.5 + random.next()), signal);
		if (signal.aborted) {
			return;
		}

		const [name, inject] = faults[random.below(faults.length)]!;
		context.faults.set(name, (context.faults.get(name) ?? 0) + 1);
		options.report(`Fault: ${name}.`);
		await inject();
	}
};

const createFaults = (context: SoakContext, callers: SoakCallers): Array<[string, () => Promise<void>]> => {
	const {pool, clock, random, checker} = context;
	const pick = (role: Role): SoakProcess => {
		const candidates = pool.processes.filter(target => target.role === role && target.child);
		return candidates[random.below(candidates.length)]!;
	};

	const grantConfigGrace = ({name}: SoakProcess) => {
		context.configGraceUntilMs.set(name, clock.monotonicMs() + configGraceMs);
	};

	const restart = async (target: SoakProcess, stop: () => Promise<void>) => {
		await stop();
		await clock.sleep(200 + random.below(2000));
		pool.start(target);
		grantConfigGrace(target);
	};

	return [
		['entry killed', async () => {
			const target = pick(Role.Entry);
			await restart(target, async () => pool.kill(target));
		}],
		['entry told to stop', async () => {
			const target = pick(Role.Entry);
			callers.markShutdown(target);
			await restart(target, async () => pool.terminate(target));
		}],
		['entry paused', async () => {
			const target = pick(Role.Entry);
			pool.pause(target);
			await clock.sleep(1000 + random.below(6000));
			pool.resume(target);
			grantConfigGrace(target);
		}],
		['upstream killed', async () => {
			const target = pick(Role.Upstream);
			await restart(target, async () => pool.kill(target));
		}],
		['upstream told to stop', async () => {
			const target = pick(Role.Upstream);
			await restart(target, async () => pool.terminate(target));
		}],
		['upstream paused', async () => {
			const target = pick(Role.Upstream);
			pool.pause(target);
			await clock.sleep(500 + random.below(3000));
			pool.resume(target);
		}],
		['worker killed', async () => {
			const target = pick(Role.Worker);
			await restart(target, async () => {
				await pool.kill(target);
				checker.recordWorkerLost(target.name);
			});
		}],
		['log down', async () => {
			context.isLogDown = true;
			await setLogFaults(context, {isDown: true});
			await clock.sleep(2000 + random.below(6000));
			await setLogFaults(context, {isDown: false});
			context.isLogDown = false;
			context.logGraceUntilMs = clock.monotonicMs() + configGraceMs;
		}],
		['log slow, answers lost', async () => {
			await setLogFaults(context, {delayMs: 100, loseAnswerChance: 0.2});
			await clock.sleep(3000);
			await setLogFaults(context, {delayMs: 0, loseAnswerChance: 0});
		}],
	];
};

/** Sets the faults of the stand-in log. */
export const setLogFaults = async ({logUrl}: SoakContext, faults: Record<string, unknown>): Promise<void> => {
	await callJson({
		method: 'POST', url: `${logUrl}/faults`, body: faults, timeoutMs: callTimeoutMs, step: 'set log faults',
	});
};
