use super::*;

type AnyService = Arc<dyn Any + Send + Sync>;
type StopHook = Box<dyn FnOnce() -> futures::future::BoxFuture<'static, ()> + Send>;

/// Services of the process by name. Stop hooks run in reverse order of their registration.
#[derive(Default)]
pub struct ServiceRegistry {
    services: RwLock<Vec<(ServiceName, AnyService)>>,
    stop_hooks: Mutex<Vec<StopHook>>,
}

impl ServiceRegistry {
    /// Registers a service and returns it.
    ///
    /// # Errors
    ///
    /// If a service of this name is registered already.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: ServiceName,
        service: Arc<T>,
    ) -> Result<Arc<T>> {
        let mut services = self.services.write();
        match services.binary_search_by_key(&name, |(name, _)| *name) {
            Ok(_) => Err(Error::ServiceAlreadyRegistered { name }),
            Err(i) => {
                services.insert(i, (name, service.clone()));
                Ok(service)
            }
        }
    }

    /// Looks up a service by name.
    ///
    /// # Errors
    ///
    /// If no service of this name is registered, or it is of another type.
    pub fn find<T: Any + Send + Sync>(&self, name: ServiceName) -> Result<Arc<T>> {
        let services = self.services.read();
        let i = services
            .binary_search_by_key(&name, |(name, _)| *name)
            .map_err(|_| Error::ServiceAbsent { name })?;
        let service = services[i].1.clone();
        service
            .downcast()
            .map_err(|_| Error::ServiceTypeMismatch { name })
    }

    /// Registers a hook that [`ServiceRegistry::stop`] runs.
    pub fn on_stop<F>(&self, hook: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.stop_hooks.lock().push(Box::new(|| Box::pin(hook())));
    }

    /// Runs the stop hooks one after the other, the last registered first.
    pub async fn stop(&self) {
        loop {
            let Some(hook) = self.stop_hooks.lock().pop() else {
                return;
            };
            hook().await;
        }
    }
}
